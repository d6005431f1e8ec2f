// Package jytest runs property tests with a fixed seed, so that each CI run draws the same inputs.
package jytest

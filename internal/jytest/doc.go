// Package jytest sets up how property tests explore, so that each run of CI comes to the same verdict.
package jytest

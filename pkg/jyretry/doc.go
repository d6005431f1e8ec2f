// Package jyretry decides whether a failed attempt is repeated, and what the caller is told if it is not.
package jyretry

// Package jylimit bounds the rate and the concurrency of each caller at one instance, without a word to others.
package jylimit

// Package jylimit bounds the rate and the concurrency of each caller at one instance, independently of other instances.
package jylimit

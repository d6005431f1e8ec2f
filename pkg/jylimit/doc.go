// Package jylimit bounds the rate and the concurrency of each caller at one instance, independently of other instances.
//
// Start with New. Call Begin before each request, and End after each request that Begin admitted.
package jylimit

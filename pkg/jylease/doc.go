// Package jylease decides whether an instance may still serve requests with keys. It may as long as it knew, less than a bound ago,
// that the store holds no newer configuration than the applied one.
//
// Start with New. Pass each proof to Renew, once everything that it covers is applied, and call IsValid before a request is served.
package jylease

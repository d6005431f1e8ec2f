// Package jyoutcome defines the three outcomes that are reported to callers, and the response that carries a refusal.
//
// The response header that Header names carries the outcome. Refusal.Write sends a refusal.
package jyoutcome

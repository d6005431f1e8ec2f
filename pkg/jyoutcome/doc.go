// Package jyoutcome defines the three outcomes that are reported to callers, and the response that carries a refusal.
package jyoutcome

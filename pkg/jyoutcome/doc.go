// Package jyoutcome names the three outcomes that a caller can be told, and the problem body that carries a refusal.
package jyoutcome

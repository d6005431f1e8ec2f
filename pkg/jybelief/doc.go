// Package jybelief holds how likely a backend server is to fail at this moment, from the outcomes of single requests.
//
// It answers servers that turn gray for seconds at a time: a filter over two states, well and gray, that a server changes
// between by itself. One failure is enough to move it, silence lets it fall back to what is usual.
package jybelief

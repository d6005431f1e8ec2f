// Package jynote defines release notes: their format and validation, the state that they lead to, and the order in which
// they are applied.
package jynote

// Package jynote defines release notes: their format and validation, the state that they lead to, and the order in which
// they are applied.
//
// Parse and Validate check a single note. Start with NewSequence to apply notes: Offer takes them in any order, and State returns
// the result.
package jynote

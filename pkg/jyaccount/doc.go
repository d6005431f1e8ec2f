// Package jyaccount finds the client account to which the key of a request belongs.
//
// NewTable makes a Table of the accounts in force; Authenticate looks up a key.
package jyaccount

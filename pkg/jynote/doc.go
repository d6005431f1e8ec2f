// Package jynote holds the release note: its format, its validation, the state it leads to, and the order in which notes come into force.
package jynote

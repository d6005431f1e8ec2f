// Package jycommand is the command line of jackdawyard.
package jycommand

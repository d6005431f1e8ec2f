// Package jycommand implements the command line of jackdawyard.
package jycommand

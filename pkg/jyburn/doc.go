// Package jyburn measures how fast a service uses up its error budget, which is the errors that its objective allows, over
// several windows.
package jyburn

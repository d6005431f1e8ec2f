// Package jyburn measures how fast a service uses up the errors that its objective allows, over several windows at once.
package jyburn

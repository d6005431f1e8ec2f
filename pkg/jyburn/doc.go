// Package jyburn measures how fast a service uses up its error budget, which is the errors that its objective allows, over
// several windows.
//
// Record each request with Meter.Add. Rate and AlertFor evaluate the counts that Meter.Series returns.
package jyburn

// Package jypeer makes and serves the calls between instances over connect-go, and converts their messages from and to the wire
// form.
package jypeer

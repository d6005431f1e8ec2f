// Package jypeer makes and serves the calls between instances over connect-go, and converts what they carry to the wire form.
package jypeer

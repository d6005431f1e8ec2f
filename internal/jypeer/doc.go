// Package jypeer carries the calls between instances over connect-go.
package jypeer

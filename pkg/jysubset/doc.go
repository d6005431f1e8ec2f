// Package jysubset decides which backend servers of a service an instance connects to, so that no server gets more connections
// than it accepts, however large the fleet is.
package jysubset

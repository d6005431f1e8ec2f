// Package jyfleet keeps this instance's view of the fleet by heartbeats.
package jyfleet

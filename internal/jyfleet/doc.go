// Package jyfleet keeps the membership of the fleet up to date by heartbeats.
package jyfleet

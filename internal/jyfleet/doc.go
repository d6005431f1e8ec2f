// Package jyfleet keeps the membership of the fleet up to date by heartbeats. New returns a Fleet that knows only this instance;
// Run joins the others through the seeds.
package jyfleet

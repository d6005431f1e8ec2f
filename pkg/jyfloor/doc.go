// Package jyfloor decides which backend servers are readmitted, so that ejections do not leave a service below its floor of slots.
//
// Readmit is a pure function: call it again whenever a state, a score or the floor changes.
package jyfloor

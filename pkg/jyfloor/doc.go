// Package jyfloor decides which backend servers are readmitted, so that ejections do not leave a service below its floor of slots.
package jyfloor

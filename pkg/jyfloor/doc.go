// Package jyfloor decides which backend servers take requests, so that ejections never leave a service below its floor.
package jyfloor

// Package jynode assembles the services of one instance from its settings and runs them. New opens the listening addresses, and
// Run serves until its context ends.
package jynode

// Package jynode assembles the services of one entry instance and runs them.
package jynode

// Package jykernel starts, names, finds and stops the services of one process.
package jykernel

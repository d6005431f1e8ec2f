// Package jykernel registers the services of one process by name, lets them find each other, and runs and stops them together.
package jykernel

// Package jyplace chooses the backend server with the lowest expected loss for a request, where loss comes from failures,
// load shedding, late answers and distance.
package jyplace

// Package jyexperiment simulates, in virtual time and with fixed seeds, how the fleet detects gray servers, places requests and
// shares slots, and compares each with simpler policies.
package jyexperiment

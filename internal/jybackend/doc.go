// Package jybackend keeps the connections to backend servers and this instance's view of each server.
package jybackend

// Package jybackend chooses the backend server for each request. It keeps the connections to backend servers and what this
// instance knows about each server.
package jybackend

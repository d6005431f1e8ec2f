// Package jydemo runs a demonstration in one process: instances, backend servers and a configuration service on loopback, of which
// one backend server turns gray.
package jydemo

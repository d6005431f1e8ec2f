// Package jyreach judges whether an instance still reaches the backend servers of a service, and whether a connection that could not
// be opened is the fault of the server or of the path to all of them.
//
// Start with New. Call Failed for each connection that could not be opened and Opened for each one that was. While IsLost holds, open
// a connection to some server whenever TakeProbe allows it.
package jyreach

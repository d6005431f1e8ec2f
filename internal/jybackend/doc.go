// Package jybackend chooses the backend server for each request. It keeps the connections to backend servers and what this
// instance knows about each server.
//
// Directory.Apply sets the services and servers. For each attempt of a request, Service.Choose returns a server, Server.Pool
// provides a connection to it, and Server.Release and Service.RecordAttempt end the attempt. Directory, Snapshot, Service, Server
// and Pool are safe for concurrent use; a Connection serves one request at a time.
package jybackend

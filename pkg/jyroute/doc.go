// Package jyroute finds the route and the service of a request by its host, method and path.
//
// Build a Table from each new state of the release notes, and call Find for each request.
package jyroute

// Package jyroute finds the route of a request by its method and path.
package jyroute

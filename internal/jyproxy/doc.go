// Package jyproxy handles callers' requests: it admits them, forwards them to backend servers, and returns the answer or a
// refusal together with the outcome of the request. New returns the HTTP handler, which sends requests through the Forwarder of
// its Config.
package jyproxy

// Package jydiscovery follows a store that can only be read: the configuration of the operators, and the backend servers
// that register themselves there.
package jydiscovery

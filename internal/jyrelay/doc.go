// Package jyrelay relays requests to the instances that own their request ids, hands request ids over to a successor, and
// shares with peers which requests crash backend servers.
package jyrelay

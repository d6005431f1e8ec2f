// Package jyrelay carries requests with ids, their hand-over, and the list of blocked requests between instances.
package jyrelay

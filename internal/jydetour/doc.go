// Package jydetour sends callers' requests through other instances while this one reaches no backend server, and serves those that
// other instances send through this one.
package jydetour

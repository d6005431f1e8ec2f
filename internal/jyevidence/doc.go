// Package jyevidence reports what this instance observes of backend servers, aggregates the reports of all instances on the
// services that this instance is responsible for, and sends the resulting verdicts to the reporters.
package jyevidence

// Package jyevidence reports this instance's counts of requests to backend servers to the instances that aggregate them. For the
// services that this instance aggregates, it applies the reports of all instances to a detector and sends the resulting verdicts
// to the reporters.
package jyevidence

// Package jyevidence reports this instance's counts of requests to backend servers to the instances that aggregate them. For the
// services that this instance aggregates, it applies the reports of all instances to a detector and sends the resulting verdicts
// to the reporters. Run of an Evidence sends the reports; Report and Tell answer the calls of other instances.
package jyevidence

// Package jymetric records the metrics of an instance with tally and serves them in the Prometheus format.
package jymetric

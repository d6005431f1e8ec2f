// Package jymetric counts what happens in tally scopes and shows it in the Prometheus format.
package jymetric

// Package jycapacity extrapolates benchmarks linearly to the cost of the fleet at its target size, and writes the tables of
// docs/CAPACITY.md.
package jycapacity

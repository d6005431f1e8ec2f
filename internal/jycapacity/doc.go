// Package jycapacity works out what the target size costs from measured slopes, and writes docs/CAPACITY.md.
package jycapacity

// Package jydemo shows the whole path in one process.
package jydemo

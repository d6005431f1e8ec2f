// Package jyevidence reports what this instance sees of backend servers, pools what others report, and spreads the verdicts.
package jyevidence

// Package jyexperiment measures the fleet's decisions in virtual time, with seeds, beside plain ways of deciding.
package jyexperiment

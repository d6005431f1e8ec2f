// Package jyreport counts good and bad requests per service, and renders the report on error budget burn rates.
package jyreport

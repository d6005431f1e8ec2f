// Package jyreport keeps the counts behind the report on service-level burn, and renders it.
package jyreport

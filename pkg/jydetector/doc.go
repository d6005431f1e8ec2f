// Package jydetector detects the backend servers of one service that fail or answer slowly while the other servers do not.
//
// A Detector aggregates the counts of real requests that instances report. For each server it runs cumulative sum tests
// (Page 1954) of a raised share of failures, and of slow answers, against the share at the other servers. The alarm
// threshold follows from the allowed rate of false ejections, since the mean time between false alarms of such a test
// is at least the exponential of its threshold (Lorden 1971). One of several active reporters or data centres cannot
// raise an alarm alone, a fault of the whole service ejects no server, and no ejection takes the service below its floor.
//
// Start with New and SetServers. Pass each report to Observe and call Advance regularly; both return the changes. Verdicts returns
// the current state of the servers that are not Healthy.
package jydetector

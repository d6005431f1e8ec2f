// Package jydetector detects the backend servers of one service that fail or answer slowly while the other servers do not.
//
// A Detector aggregates the counts of real requests that instances report. For each server, cumulative sum tests (Page 1954)
// check whether the share of failures, or of slow answers, is higher than at the other servers. The alarm threshold follows
// from the allowed rate of false ejections, since the mean time between false alarms of such a test is at least the
// exponential of its threshold (Lorden 1971). If several reporters or data centres are active, one alone cannot raise an
// alarm. A fault of the whole service ejects no server. No ejection takes the service below its floor.
//
// Start with New and SetServers. Pass each report to Observe and call Advance regularly; both return the changes. Verdicts returns
// the current state of the servers that are not Healthy.
package jydetector

// Package jydetector finds the backend servers of one service that fail or answer slowly while their peers do not.
//
// A Detector pools the counts that instances report of real requests. For each server it runs cumulative sum tests
// (Page 1954) of a raised share of failures, and of slow answers, against the share that its peers show. The alarm
// threshold follows from the allowed rate of false ejections, since the mean time between false alarms of such a test
// is at least the exponential of its threshold (Lorden 1971). One reporter, or one data centre, cannot raise an alarm
// alone, a service that fails as a whole raises none, and no ejection takes the service below its floor.
package jydetector

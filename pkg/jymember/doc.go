// Package jymember keeps the membership of the fleet by the SWIM protocol (Das, Gupta, Motivala 2002).
//
// Each instance sends a heartbeat to one other instance at a time, probes it through helpers before it suspects it, and
// gossips updates with its heartbeats, so that the cost per instance does not grow with the fleet. The platform's list of
// instances only provides first contacts. It does not decide which instances are alive, since it lags.
package jymember

// Package jymember decides who is in the fleet, in the manner of SWIM (Das, Gupta, Motivala 2002).
//
// Each instance sends a heartbeat to one other at a time, asks helpers before it suspects anybody, and passes updates
// on with its heartbeats, so that the cost to an instance does not grow with the fleet. The platform's list only says
// whom to ask at first; what it says about life lags and is not relied on.
package jymember

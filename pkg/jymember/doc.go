// Package jymember keeps the membership of the fleet by the SWIM protocol (Das, Gupta, Motivala 2002).
//
// At each interval, an instance sends a heartbeat to one other instance. If that does not answer, helpers probe it before it is
// suspected. Heartbeats carry gossip, so that the cost per instance does not grow with the fleet. The platform's list of
// instances only provides first contacts. It does not decide which instances are alive, since it lags.
package jymember

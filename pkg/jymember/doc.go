// Package jymember keeps the membership of the fleet by the SWIM protocol (Das, Gupta, Motivala 2002).
//
// At each interval, an instance sends a heartbeat to one other instance, the target. If the target does not answer, helpers,
// which are other instances, probe it before it is suspected. Heartbeats carry gossip, so that the cost per instance does not
// grow with the fleet. The platform's list of instances only provides first contacts. It does not decide which instances are
// alive, since it lags.
//
// The package sends nothing itself. Start with NewTable and SyncList. At the times of a HeartbeatSchedule, send the result of
// UpdatesFor to the target of NextProbe. When a call or an answer arrives, pass its updates to Merge, or to MergeFullState if
// they are a full state, and its sender to RecordAnswer. If no answer arrives, call RecordProbeFailure. Call Expire
// regularly.
package jymember

package jyrelay

import (
	"math"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
)

// encodeCrashes returns the report of a suspect request. Times are sent as ages, since the clocks of instances differ.
func encodeCrashes(f jyblock.Fingerprint, crashes []jyblock.Crash, blocked bool, now time.Time) *jywire.BlockRequest {
	out := &jywire.BlockRequest{Fingerprint: f[:], Blocked: blocked}
	for _, c := range crashes {
		out.Servers = append(out.Servers, string(c.Server))
		out.Runs = append(out.Runs, &jywire.CrashedRun{
			BeganMillisecondsAgo: encodeAge(now.Sub(c.Began)), EndedMillisecondsAgo: encodeAge(now.Sub(c.Ended)),
		})
	}
	return out
}

func encodeAge(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}

// decodeCrashes returns the crashes of a report. An older build says nothing of the runs; each then counts as a crash of its own.
func decodeCrashes(q *jywire.BlockRequest, now time.Time) []jyblock.Crash {
	out := make([]jyblock.Crash, 0, len(q.GetServers()))
	runs := q.GetRuns()
	for i, server := range q.GetServers() {
		c := jyblock.Crash{Server: jyblock.ServerName(server), Began: now, Ended: now}
		if len(runs) == len(q.GetServers()) {
			c.Began, c.Ended = before(now, runs[i].GetBeganMillisecondsAgo()), before(now, runs[i].GetEndedMillisecondsAgo())
		}
		out = append(out, c)
	}
	return out
}

func before(now time.Time, milliseconds uint32) time.Time {
	return now.Add(-time.Duration(milliseconds) * time.Millisecond)
}

// fingerprintOf returns the fingerprint in a message.
func fingerprintOf(raw []byte) jyblock.Fingerprint {
	var out jyblock.Fingerprint
	copy(out[:], raw)
	return out
}

// serversOf returns the servers that crashed.
func serversOf(crashes []jyblock.Crash) []jyblock.ServerName {
	out := make([]jyblock.ServerName, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, c.Server)
	}
	return out
}

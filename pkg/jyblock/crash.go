package jyblock

import (
	"slices"
	"time"
)

// Crash is the crash of a backend server while it ran a request.
type Crash struct {
	Server ServerName
	Began  time.Time // when the request was sent to the server
	Ended  time.Time // when the connection was lost
}

// separateCrashes returns how many crashes at most are separate: the request was sent to each server after the crash before. What runs
// at several servers at once may be the victim of one event that ended them all.
func separateCrashes(crashes []Crash) int {
	byEnd := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	count := 0
	var lastEnd time.Time
	for _, c := range byEnd {
		if count > 0 && c.Began.Before(lastEnd) {
			continue
		}
		count++
		lastEnd = c.Ended
	}
	return count
}

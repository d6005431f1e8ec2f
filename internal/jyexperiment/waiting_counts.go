package jyexperiment

import "time"

// waitingCounts counts the requests of a run.
type waitingCounts struct {
	open                             map[*waitingRequest]bool
	requests, inTime, late           float64
	troubleRequests, troubleAnswered float64
	byPriority, inTimeByPriority     []float64
	othersRequests, othersAnswered   float64
	retries                          float64
	maxHeld                          time.Duration
}

func newWaitingCounts(c WaitingCase) waitingCounts {
	return waitingCounts{
		open: map[*waitingRequest]bool{}, byPriority: make([]float64, c.Priorities), inTimeByPriority: make([]float64, c.Priorities),
	}
}

func (c *waitingCounts) recordArrival(r *waitingRequest) {
	c.open[r] = true
	c.requests++
	c.byPriority[r.priority]++
	if r.isCountedAsTrouble {
		c.troubleRequests++
		if r.account > 0 {
			c.othersRequests++
		}
	}
}

func (c *waitingCounts) recordEnd(r *waitingRequest, isAnswered, isInTime bool) {
	delete(c.open, r)
	if !isAnswered {
		return
	}
	if r.isCountedAsTrouble {
		c.troubleAnswered++
		if r.account > 0 {
			c.othersAnswered++
		}
	}
	if !isInTime {
		c.late++
		return
	}
	c.inTime++
	c.inTimeByPriority[r.priority]++
}

// shares returns the counts as shares of the requests.
func (c *waitingCounts) shares() WaitingResult {
	n := c.requests
	out := WaitingResult{
		InTime: c.inTime / n, Late: c.late / n, Lost: 1 - (c.inTime+c.late)/n, RetriesPerRequest: c.retries / n, MaxHeld: c.maxHeld,
		TroubleLost: 1 - c.troubleAnswered/max(1, c.troubleRequests), OthersLost: 1 - c.othersAnswered/max(1, c.othersRequests),
	}
	for p, n := range c.byPriority {
		out.InTimeByPriority = append(out.InTimeByPriority, c.inTimeByPriority[p]/n)
	}
	return out
}

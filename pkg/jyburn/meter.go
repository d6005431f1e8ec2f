package jyburn

import "time"

// BucketDuration is the span of one count.
const BucketDuration = time.Minute

// buckets is the number of counts kept, which cover the longest window.
const buckets = int(6 * time.Hour / BucketDuration)

// Windows are the spans over which burn is reported, shortest first.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Count is the requests of one bucket.
type Count struct {
	Good uint32
	Bad  uint32
}

// Meter counts good and bad requests of one service; it is not safe for concurrent use.
type Meter struct {
	counts [buckets]Count
	newest int64 // bucket number since the epoch
}

// Add counts a request.
func (m *Meter) Add(now time.Time, good bool) {
	m.advance(now)
	c := &m.counts[m.newest%int64(buckets)]
	if good {
		c.Good++
	} else {
		c.Bad++
	}
}

func (m *Meter) advance(now time.Time) {
	number := now.UnixNano() / int64(BucketDuration)
	if number-m.newest > int64(buckets) {
		m.newest = number - int64(buckets)
	}
	for m.newest < number {
		m.newest++
		m.counts[m.newest%int64(buckets)] = Count{}
	}
}

// Series returns the counts of the last span, oldest first.
func (m *Meter) Series(now time.Time, span time.Duration) []Count {
	m.advance(now)
	n := min(int(span/BucketDuration), buckets)
	out := make([]Count, 0, n)
	for i := n - 1; i >= 0; i-- {
		out = append(out, m.counts[(m.newest-int64(i))%int64(buckets)])
	}
	return out
}

// Rate returns how many times faster than allowed the counts use up the objective's errors; 1 uses up just all.
func Rate(counts []Count, successShare float64) float64 {
	var good, bad uint64
	for _, c := range counts {
		good += uint64(c.Good)
		bad += uint64(c.Bad)
	}
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - successShare)
}

// Alert says how urgent a burn is.
type Alert string

// The alerts, after the multi-window rule: a long window shows that it matters, a short one that it goes on.
const (
	NoAlert Alert = "None"
	Ticket  Alert = "Ticket"
	Page    Alert = "Page"
)

// Burn rates at which an alert is raised.
const (
	pageRate   = 14.4
	ticketRate = 6.0
)

// AlertFor returns the alert for a series of counts that covers the longest window, oldest first.
func AlertFor(series []Count, successShare float64) Alert {
	rate := func(window time.Duration) float64 {
		n := min(len(series), int(window/BucketDuration))
		return Rate(series[len(series)-n:], successShare)
	}
	if rate(Windows[2]) >= pageRate && rate(Windows[0]) >= pageRate {
		return Page
	}
	if rate(Windows[3]) >= ticketRate && rate(Windows[1]) >= ticketRate {
		return Ticket
	}
	return NoAlert
}

package jyburn

import "time"

// BucketDuration is the time that one Count covers.
const BucketDuration = time.Minute

// bucketCount is the number of buckets kept, enough for the longest window.
const bucketCount = int(6 * time.Hour / BucketDuration)

// Windows are the time spans over which burn rates are reported, shortest first.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Count holds the numbers of good and bad requests in one bucket.
type Count struct {
	Good uint32
	Bad  uint32
}

// Meter counts the good and bad requests of one service in the last six hours. Its zero value is ready for use. It is not safe
// for concurrent use.
type Meter struct {
	counts       [bucketCount]Count // by bucket number modulo bucketCount
	newestBucket int64              // bucket number, counted from the Unix epoch
}

// Add counts a request in the bucket that contains now, or in the newest bucket if that one is newer.
func (m *Meter) Add(now time.Time, good bool) {
	m.advance(now)
	c := &m.counts[m.newestBucket%int64(bucketCount)]
	if good {
		c.Good++
	} else {
		c.Bad++
	}
}

// advance makes the bucket that contains now the newest, unless there is a newer one, and clears the buckets that it reuses.
func (m *Meter) advance(now time.Time) {
	current := now.UnixNano() / int64(BucketDuration)
	if current-m.newestBucket > int64(bucketCount) {
		m.newestBucket = current - int64(bucketCount)
	}
	for m.newestBucket < current {
		m.newestBucket++
		m.counts[m.newestBucket%int64(bucketCount)] = Count{}
	}
}

// Series returns one count for each bucket of the span, oldest first, but at most those of six hours. The last one is the newest
// bucket: that of now, or a later one if Add has reached it.
func (m *Meter) Series(now time.Time, span time.Duration) []Count {
	m.advance(now)
	n := min(int(span/BucketDuration), bucketCount)
	out := make([]Count, 0, n)
	for i := n - 1; i >= 0; i-- {
		out = append(out, m.counts[(m.newestBucket-int64(i))%int64(bucketCount)])
	}
	return out
}

// Rate returns the burn rate of the counts: their share of bad requests, divided by the share that the objective allows, which is
// 1 - successShare. A steady rate of 1 uses up exactly the error budget. The rate is 0 if there were no requests. successShare
// must be below 1.
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

// Alert is the urgency of a burn rate.
type Alert string

// The alerts, by the multi-window rule: a long window shows that much of the error budget was used, and a short window that
// the burn continues.
const (
	NoAlert Alert = "None"
	Ticket  Alert = "Ticket"
	Page    Alert = "Page"
)

// The burn rates at which an alert is raised, if both of its windows reach them. Over the long window, a burn at these rates uses
// up 2% (page) or 5% (ticket) of the error budget of 30 days.
const (
	pageBurnRate   = 14.4
	ticketBurnRate = 6.0
)

// AlertFor returns the alert for a series of counts, oldest first, that covers the longest window. The windows of Page are one hour
// and 5 minutes, those of Ticket six hours and 30 minutes. successShare is as in Rate.
func AlertFor(series []Count, successShare float64) Alert {
	rate := func(window time.Duration) float64 {
		n := min(len(series), int(window/BucketDuration))
		return Rate(series[len(series)-n:], successShare)
	}
	if rate(Windows[2]) >= pageBurnRate && rate(Windows[0]) >= pageBurnRate {
		return Page
	}
	if rate(Windows[3]) >= ticketBurnRate && rate(Windows[1]) >= ticketBurnRate {
		return Ticket
	}
	return NoAlert
}

package jyload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Range and precision of the latency histogram, which leaves out latencies above the range.
const (
	maxLatencyMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits      = 3
)

// runner is a run in progress.
type runner struct {
	config           Config
	client           *http.Client
	runID            string // prefix of each token, which keeps this run's effects apart from those of others
	mu               sync.Mutex
	result           Result
	reportedOutcomes map[string]jyoutcome.Outcome // last outcome of each non-idempotent request, by token
	latencies        *hdrhistogram.Histogram
}

// Run sends the load until its end or until ctx is done, checks the effects and returns the result. If it can't read the counts of
// a server, it returns the result without the check and an error of kind Unreachable.
func Run(ctx context.Context, c Config) (Result, error) {
	r := newRunner(c)
	start := time.Now()
	r.sendAll(ctx)
	r.result.Seconds = time.Since(start).Seconds()
	r.setQuantiles()
	if len(c.Servers) > 0 {
		if err := r.checkServerCounts(ctx); err != nil {
			return r.result, err
		}
	}
	return r.result, nil
}

func newRunner(c Config) *runner {
	return &runner{
		config:           c,
		client:           &http.Client{Timeout: c.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: c.MaxInFlight}},
		runID:            fmt.Sprintf("%x", time.Now().UnixNano()),
		reportedOutcomes: map[string]jyoutcome.Outcome{},
		latencies:        hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits),
		result:           Result{Outcomes: map[jyoutcome.Outcome]int{}, Reasons: map[jyoutcome.Reason]int{}},
	}
}

// sendAll sends the requests on schedule, however slow the answers are, so that a stall shows in the latencies.
func (r *runner) sendAll(ctx context.Context) {
	total := int(r.config.Rate * r.config.Duration.Seconds())
	interval := time.Duration(float64(time.Second) / r.config.Rate)
	semaphore := make(chan struct{}, r.config.MaxInFlight)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range total {
		scheduled := start.Add(time.Duration(i) * interval)
		waitUntil(scheduled)
		if ctx.Err() != nil {
			break
		}
		select {
		case semaphore <- struct{}{}:
		default:
			r.updateResult(func(v *Result) { v.Unsent++ })
			continue
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			r.sendOne(ctx, i, scheduled)
		})
	}
	wg.Wait()
}

// maxOversleep is how late a sleep may end. The last part of a wait is a busy loop of this length, to keep the schedule.
const maxOversleep = 1200 * time.Microsecond

// waitUntil returns at the scheduled time, or at once if that has passed.
func waitUntil(scheduled time.Time) {
	if d := time.Until(scheduled); d > maxOversleep {
		time.Sleep(d - maxOversleep)
	}
	for time.Now().Before(scheduled) {
	}
}

func (r *runner) updateResult(update func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.result)
}

// sendOne creates the request with an index, sends it, and records its latency since its scheduled time.
func (r *runner) sendOne(ctx context.Context, index int, scheduled time.Time) {
	req := &request{
		runner:     r,
		entryIndex: index,
		token:      fmt.Sprintf("%s-%d", r.runID, index),
		path:       r.config.Paths[index%len(r.config.Paths)],
		caller:     fmt.Sprintf("Caller %d", index%max(1, r.config.Callers)),
		method:     http.MethodGet,
	}
	if rand.Float64() < r.config.WriteShare {
		req.method = http.MethodPost
		req.body = req.token + strings.Repeat("b", r.config.BodySize)
		req.hasNoID = rand.Float64() < r.config.NoRequestIDShare
	}
	req.send(ctx)
	elapsed := time.Since(scheduled)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	_ = r.latencies.RecordValue(max(1, elapsed.Microseconds()))
}

func (r *runner) setQuantiles() {
	at := func(percent float64) time.Duration {
		return time.Duration(r.latencies.ValueAtQuantile(percent)) * time.Microsecond
	}
	r.result.P50, r.result.P99, r.result.P999 = at(50), at(99), at(99.9)
	r.result.Max = time.Duration(r.latencies.Max()) * time.Microsecond
}

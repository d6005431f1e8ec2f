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

// Range of the latency histogram.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// runner is one run in progress.
type runner struct {
	config Config
	client *http.Client
	run    string // part of each token, so that runs do not mix
	mu     sync.Mutex
	result Result
	told   map[string]jyoutcome.Outcome // last outcome of each non-idempotent request
	hist   *hdrhistogram.Histogram
}

// Run sends the load and returns what it found; its errors are of kind Unreachable.
func Run(ctx context.Context, c Config) (Result, error) {
	r := newRunner(c)
	started := time.Now()
	r.send(ctx)
	r.result.Seconds = time.Since(started).Seconds()
	r.quantiles()
	if len(c.Servers) > 0 {
		if err := r.audit(ctx); err != nil {
			return r.result, err
		}
	}
	return r.result, nil
}

func newRunner(c Config) *runner {
	return &runner{
		config: c,
		client: &http.Client{Timeout: c.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: c.MaxInFlight}},
		run:    fmt.Sprintf("%x", time.Now().UnixNano()),
		told:   map[string]jyoutcome.Outcome{},
		hist:   hdrhistogram.New(1, histogramMax, histogramDigits),
		result: Result{Outcomes: map[jyoutcome.Outcome]int{}, Reasons: map[jyoutcome.Reason]int{}},
	}
}

// send keeps to the schedule whatever the answers do, so that a stall shows in the latencies.
func (r *runner) send(ctx context.Context) {
	total := int(r.config.Rate * r.config.Duration.Seconds())
	gap := time.Duration(float64(time.Second) / r.config.Rate)
	places := make(chan struct{}, r.config.MaxInFlight)
	started := time.Now()
	var wg sync.WaitGroup
	for i := range total {
		due := started.Add(time.Duration(i) * gap)
		waitUntil(due)
		if ctx.Err() != nil {
			break
		}
		select {
		case places <- struct{}{}:
		default:
			r.count(func(v *Result) { v.Unsent++ })
			continue
		}
		wg.Go(func() {
			defer func() { <-places }()
			r.one(ctx, i, due)
		})
	}
	wg.Wait()
}

// sleepMargin is how late a sleep may end; the rest of a wait is spent awake, so that the schedule is kept.
const sleepMargin = 1200 * time.Microsecond

func waitUntil(due time.Time) {
	if d := time.Until(due); d > sleepMargin {
		time.Sleep(d - sleepMargin)
	}
	for time.Now().Before(due) {
	}
}

func (r *runner) count(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.result)
}

func (r *runner) one(ctx context.Context, i int, due time.Time) {
	q := &query{
		runner: r,
		entry:  i,
		token:  fmt.Sprintf("%s-%d", r.run, i),
		path:   r.config.Paths[i%len(r.config.Paths)],
		caller: fmt.Sprintf("Caller %d", i%max(1, r.config.Callers)),
		method: http.MethodGet,
	}
	if rand.Float64() < r.config.WriteShare {
		q.method = http.MethodPost
		q.body = q.token + strings.Repeat("b", r.config.BodySize)
		q.plain = rand.Float64() < r.config.PlainShare
	}
	q.send(ctx)
	elapsed := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	_ = r.hist.RecordValue(max(1, elapsed.Microseconds()))
}

func (r *runner) quantiles() {
	at := func(q float64) time.Duration {
		return time.Duration(r.hist.ValueAtQuantile(q)) * time.Microsecond
	}
	r.result.P50, r.result.P99, r.result.P999 = at(50), at(99), at(99.9)
	r.result.Max = time.Duration(r.hist.Max()) * time.Microsecond
}

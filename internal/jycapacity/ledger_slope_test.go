package jycapacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// newLedger returns a ledger with limits that the given number of records doesn't reach, and its start time.
func newLedger(records int) (*jydedup.Ledger, time.Time) {
	now := time.Now()
	return jydedup.NewLedger(jydedup.Config{
		Self: jydedup.Issuer{Instance: "entry-001", Boot: 1796352455905}, Secret: []byte("secret"), Boot: now,
		Lifetime: 5 * time.Minute, Retention: 5 * time.Minute, MaxRecords: records + 1<<30, MaxReplayBytes: 1 << 16, MaxKeptBytes: 1 << 24,
	}), now
}

// answerBytes is the size of the body of each kept answer.
const answerBytes = 500

// useID issues a request id, and begins and finishes its request with an answer.
func useID(l *jydedup.Ledger, now time.Time) {
	id := l.Issue(now, "0123456789abcdef0123456789abcdef")
	l.Begin(now, id, "0123456789abcdef0123456789abcdef", jydedup.Fingerprint{1})
	_ = l.Finish(id, jydedup.Result{Outcome: jyoutcome.Complete, Answer: &jydedup.Answer{
		Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}, "Date": {"Fri, 04 Dec 2026 02:00:00 GMT"}}, Body: make([]byte, answerBytes),
	}})
}

// ledger measures issuing, beginning and finishing a request id, and the memory of a number of records. Requests are spread over
// the 10 minutes for which a record is kept, so that the number of records stays about the same.
func ledger(b *testing.B, records int) {
	defer b.ReportMetric(heapOf(func() any {
		l, now := newLedger(records)
		for range records {
			useID(l, now)
		}
		return l
	}), heapUnit)
	l, now := newLedger(records)
	interval := 10 * time.Minute / time.Duration(records)
	for b.Loop() {
		now = now.Add(interval)
		useID(l, now)
	}
}

// handOver measures encoding a message that hands over a number of records, and its size.
func handOver(b *testing.B, records int) {
	l, now := newLedger(records)
	for range records {
		useID(l, now)
	}
	l.Seal()
	handOvers, err := l.Export(now)
	require.NoError(b, err)
	size := 0
	for b.Loop() {
		raw, err := proto.Marshal(jypeer.HandOverToWire(handOvers[0], 0, 1))
		require.NoError(b, err)
		size = len(raw)
	}
	b.ReportMetric(float64(size), wireUnit)
}

package jydedup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

var start = time.Unix(1_000_000, 0)

func newLedger(records int) *jydedup.Ledger {
	return jydedup.NewLedger(jydedup.Config{
		Self: jydedup.Issuer{Instance: "entry-1", Boot: 7}, Secret: []byte("secret"), Boot: start,
		Lifetime: time.Minute, Retention: time.Minute, MaxRecords: records, MaxReplayBytes: 4, MaxKeptBytes: 8,
	})
}

func complete(body string) jydedup.Result {
	return jydedup.Result{Outcome: jyoutcome.Complete, Answer: &jydedup.Answer{Status: 200, Body: []byte(body)}}
}

func TestBeginDecidesByIDCallerAndRequest(t *testing.T) {
	fingerprint := jydedup.Fingerprint{1}
	tests := map[string]struct {
		prepare func(t *testing.T, l *jydedup.Ledger, id *jydedup.ID)
		caller  jydedup.Caller
		after   time.Duration
		action  jydedup.Action
		outcome jyoutcome.Outcome
		reason  jyoutcome.Reason
	}{
		"a new id starts": {action: jydedup.Start},
		"a running id is joined": {
			prepare: func(_ *testing.T, l *jydedup.Ledger, id *jydedup.ID) { l.Begin(start, *id, "a", fingerprint) },
			action:  jydedup.Join,
		},
		"a finished id is replayed": {
			prepare: func(t *testing.T, l *jydedup.Ledger, id *jydedup.ID) {
				l.Begin(start, *id, "a", fingerprint)
				require.NoError(t, l.Finish(*id, complete("ok")))
			},
			action: jydedup.Replay, outcome: jyoutcome.Complete,
		},
		"a forged id is refused": {
			prepare: func(_ *testing.T, _ *jydedup.Ledger, id *jydedup.ID) { id.Sequence++ },
			action:  jydedup.Refuse, outcome: jyoutcome.NotRun, reason: jyoutcome.RequestIDInvalid,
		},
		"another caller's id is refused": {
			caller: "b", action: jydedup.Refuse, outcome: jyoutcome.NotRun, reason: jyoutcome.RequestIDInvalid,
		},
		"an id with another request is refused": {
			prepare: func(_ *testing.T, l *jydedup.Ledger, id *jydedup.ID) {
				l.Begin(start, *id, "a", jydedup.Fingerprint{2})
			},
			action: jydedup.Refuse, outcome: jyoutcome.NotRun, reason: jyoutcome.RequestIDReused,
		},
		"an unused id is refused after its lifetime": {
			after: time.Minute + time.Second, action: jydedup.Refuse, outcome: jyoutcome.NotRun, reason: jyoutcome.RequestIDExpired,
		},
		"the outcome of an id past its retention is unknown": {
			after: 2*time.Minute + time.Second, action: jydedup.Refuse, outcome: jyoutcome.Unknown, reason: jyoutcome.RequestIDExpired,
		},
		"a sealed ledger refuses new ids": {
			prepare: func(_ *testing.T, l *jydedup.Ledger, _ *jydedup.ID) { l.Seal() },
			action:  jydedup.Refuse, outcome: jyoutcome.Unknown, reason: jyoutcome.ShuttingDown,
		},
		"an id of another issuer is forwarded": {
			prepare: func(_ *testing.T, _ *jydedup.Ledger, id *jydedup.ID) { id.Issuer.Boot++ },
			action:  jydedup.Forward,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(10)
			id := l.Issue(start, "a")
			if tt.prepare != nil {
				tt.prepare(t, l, &id)
			}
			if tt.caller == "" {
				tt.caller = "a"
			}
			d := l.Begin(start.Add(tt.after), id, tt.caller, fingerprint)
			assert.Equal(t, tt.action, d.Action)
			assert.Equal(t, tt.outcome, d.Result.Outcome)
			assert.Equal(t, tt.reason, d.Result.Reason)
		})
	}
}

func TestFullLedgerRefusesNewIDsAndKeepsOldOnes(t *testing.T) {
	l := newLedger(1)
	old, refused, beyond := l.Issue(start, "a"), l.Issue(start, "a"), l.Issue(start, "a")
	require.Equal(t, jydedup.Start, l.Begin(start, old, "a", jydedup.Fingerprint{}).Action)
	require.NoError(t, l.Finish(old, complete("ok")))

	first := l.Begin(start, refused, "a", jydedup.Fingerprint{})
	assert.Equal(t, jyoutcome.NotRun, first.Result.Outcome)
	assert.Equal(t, jyoutcome.Unknown, l.Begin(start, beyond, "a", jydedup.Fingerprint{}).Result.Outcome)
	assert.Equal(t, jyoutcome.Complete, l.Begin(start, old, "a", jydedup.Fingerprint{}).Result.Outcome)

	// The outcome NotRun is final: a later copy of the request gets it too.
	again := l.Begin(start.Add(50*time.Second), refused, "a", jydedup.Fingerprint{})
	assert.Equal(t, jyoutcome.NotRun, again.Result.Outcome)
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	l := newLedger(1)
	id := l.Issue(start, "a")
	l.Begin(start, id, "a", jydedup.Fingerprint{})
	require.NoError(t, l.Finish(id, complete("too long")))
	d := l.Begin(start, id, "a", jydedup.Fingerprint{})
	assert.Equal(t, jydedup.Replay, d.Action)
	assert.Nil(t, d.Result.Answer)
}

func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	l := newLedger(10)
	var ids []jydedup.ID
	for range 3 {
		id := l.Issue(start, "a")
		ids = append(ids, id)
		l.Begin(start, id, "a", jydedup.Fingerprint{})
		require.NoError(t, l.Finish(id, complete("four")))
	}
	for i, kept := range []bool{false, true, true} {
		d := l.Begin(start, ids[i], "a", jydedup.Fingerprint{})
		assert.Equal(t, jyoutcome.Complete, d.Result.Outcome)
		assert.Equal(t, kept, d.Result.Answer != nil)
	}
}

func TestSplitKeepsAllRecordsInOrder(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 7} {
		h := jydedup.HandOver{Issuer: jydedup.Issuer{Instance: "a"}, Records: make([]jydedup.HandOverRecord, n)}
		for i := range h.Records {
			h.Records[i].Sequence = uint64(i)
		}
		var joined []jydedup.HandOverRecord
		parts := h.Split(3)
		for _, p := range parts {
			assert.Equal(t, h.Issuer, p.Issuer)
			joined = append(joined, p.Records...)
		}
		assert.Len(t, parts, max(1, (n+2)/3))
		assert.Len(t, joined, n)
	}
}

func TestParseIDIsTheInverseOfString(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(1)
		age := time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(t, "age"))
		id := l.Issue(start.Add(age), jydedup.Caller(rapid.String().Draw(t, "caller")))
		got, err := jydedup.ParseID(id.String())
		require.NoError(t, err)
		require.Equal(t, id, got)
	})
}

func FuzzParseID(f *testing.F) {
	f.Add("entry-1~7~1~0~00112233445566778899aabbccddeeff")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := jydedup.ParseID(text)
		if err != nil {
			return
		}
		again, err := jydedup.ParseID(id.String())
		require.NoError(t, err)
		require.Equal(t, id, again)
	})
}

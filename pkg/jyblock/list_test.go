package jyblock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
)

var (
	start    = time.Unix(1_000_000, 0)
	poison   = jyblock.Fingerprint{1}
	innocent = jyblock.Fingerprint{2}
)

func TestIsBlocked(t *testing.T) {
	tests := map[string]struct {
		happens func(l *jyblock.List)
		after   time.Duration
		want    bool
	}{
		"nothing happened": {func(*jyblock.List) {}, 0, false},
		"an idempotent request ended one server": {func(l *jyblock.List) {
			l.RecordCrash(start, poison, "a", true)
		}, 0, false},
		"an idempotent request ended the same server twice": {func(l *jyblock.List) {
			l.RecordCrash(start, poison, "a", true)
			l.RecordCrash(start, poison, "a", true)
		}, 0, false},
		"an idempotent request ended two servers": {func(l *jyblock.List) {
			l.RecordCrash(start, poison, "a", true)
			l.RecordCrash(start, poison, "b", true)
		}, 0, true},
		"a non-idempotent request ended one server": {func(l *jyblock.List) {
			l.RecordCrash(start, poison, "a", false)
		}, 0, true},
		"here one server, and another at a peer": {func(l *jyblock.List) {
			l.RecordCrash(start, poison, "a", true)
			l.Merge(start, poison, []jyblock.ServerName{"b"}, false)
		}, 0, true},
		"it was answered a moment before": {func(l *jyblock.List) {
			l.RecordAnswer(start, poison)
			l.RecordCrash(start, poison, "a", false)
		}, 0, false},
		"it was answered between two crashes": {func(l *jyblock.List) {
			l.RecordCrash(start, poison, "a", true)
			l.RecordAnswer(start, poison)
			l.Merge(start, poison, []jyblock.ServerName{"b"}, false)
		}, 0, false},
		"one server, a short time ago": {func(l *jyblock.List) {
			l.RecordCrash(start, poison, "a", false)
		}, 2 * time.Minute, false},
		"two servers, a longer time ago": {func(l *jyblock.List) {
			l.RecordCrash(start, poison, "a", true)
			l.RecordCrash(start, poison, "b", true)
		}, 2 * time.Minute, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := jyblock.New(jyblock.Config{MultiCrashTTL: 5 * time.Minute, SingleCrashTTL: time.Minute, AnsweredTTL: 10 * time.Second})
			tt.happens(l)
			assert.Equal(t, tt.want, l.IsBlocked(start.Add(tt.after), poison))
			assert.False(t, l.IsBlocked(start, innocent))
		})
	}
}

func TestTheListIsBounded(t *testing.T) {
	l := jyblock.New(jyblock.Config{MultiCrashTTL: time.Hour, SingleCrashTTL: time.Hour, AnsweredTTL: time.Second})
	for i := range jyblock.MaxSuspects + 100 {
		l.RecordCrash(start, jyblock.Fingerprint{byte(i), byte(i >> 8), 1}, "a", false)
	}
	assert.Equal(t, jyblock.MaxSuspects, l.Len())
}

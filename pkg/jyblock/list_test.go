package jyblock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
)

var (
	start    = time.Unix(1_000_000, 0)
	crashing = jyblock.Fingerprint{1}
	harmless = jyblock.Fingerprint{2}
)

func TestIsBlocked(t *testing.T) {
	tests := map[string]struct {
		apply func(l *jyblock.List)
		after time.Duration
		want  bool
	}{
		"nothing happened": {func(*jyblock.List) {}, 0, false},
		"an idempotent request crashed one server": {func(l *jyblock.List) {
			l.RecordCrash(start, crashing, "a", true)
		}, 0, false},
		"an idempotent request crashed the same server twice": {func(l *jyblock.List) {
			l.RecordCrash(start, crashing, "a", true)
			l.RecordCrash(start, crashing, "a", true)
		}, 0, false},
		"an idempotent request crashed two servers": {func(l *jyblock.List) {
			l.RecordCrash(start, crashing, "a", true)
			l.RecordCrash(start, crashing, "b", true)
		}, 0, true},
		"a non-idempotent request crashed one server": {func(l *jyblock.List) {
			l.RecordCrash(start, crashing, "a", false)
		}, 0, true},
		"one server crashed here and another at a peer": {func(l *jyblock.List) {
			l.RecordCrash(start, crashing, "a", true)
			l.Merge(start, crashing, []jyblock.ServerName{"b"}, false)
		}, 0, true},
		"it was answered shortly before": {func(l *jyblock.List) {
			l.RecordAnswer(start, crashing)
			l.RecordCrash(start, crashing, "a", false)
		}, 0, false},
		"it was answered between two crashes": {func(l *jyblock.List) {
			l.RecordCrash(start, crashing, "a", true)
			l.RecordAnswer(start, crashing)
			l.Merge(start, crashing, []jyblock.ServerName{"b"}, false)
		}, 0, false},
		"one crash, after SingleCrashTTL": {func(l *jyblock.List) {
			l.RecordCrash(start, crashing, "a", false)
		}, 2 * time.Minute, false},
		"two crashes, after SingleCrashTTL and before MultiCrashTTL": {func(l *jyblock.List) {
			l.RecordCrash(start, crashing, "a", true)
			l.RecordCrash(start, crashing, "b", true)
		}, 2 * time.Minute, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := jyblock.New(jyblock.Config{MultiCrashTTL: 5 * time.Minute, SingleCrashTTL: time.Minute, AnsweredTTL: 10 * time.Second})
			tt.apply(l)
			assert.Equal(t, tt.want, l.IsBlocked(start.Add(tt.after), crashing))
			assert.False(t, l.IsBlocked(start, harmless))
		})
	}
}

func TestListIsBounded(t *testing.T) {
	l := jyblock.New(jyblock.Config{MultiCrashTTL: time.Hour, SingleCrashTTL: time.Hour, AnsweredTTL: time.Second})
	for i := range jyblock.MaxSuspects + 100 {
		l.RecordCrash(start, jyblock.Fingerprint{byte(i), byte(i >> 8), 1}, "a", false)
	}
	assert.Equal(t, jyblock.MaxSuspects, l.Len())
}

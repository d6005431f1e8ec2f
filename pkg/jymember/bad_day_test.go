package jymember_test

import (
	"fmt"
	"testing"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// count returns the pairs of running instances and subjects where the instance holds the subject in the status.
func (f *fleet) count(subjects func(i int) bool, s jymember.Status) int {
	n := 0
	for k, t := range f.tables {
		if f.down[k] {
			continue
		}
		for i := range f.tables {
			if i == k || !subjects(i) {
				continue
			}
			if m, ok := t.Find(name(i)); ok && m.Status == s {
				n++
			}
		}
	}
	return n
}

// roundsUntil returns the rounds, of one second each, until done.
func (f *fleet) roundsUntil(b *testing.B, done func() bool) float64 {
	const most = 300
	for n := range most {
		if done() {
			return float64(n)
		}
		f.round()
	}
	b.Fatal("not done after ", most, " rounds")
	return most
}

// BenchmarkSlope measures how long bad days take, in virtual seconds with one heartbeat a second.
func BenchmarkSlope(b *testing.B) {
	for _, size := range []int{15, 60, 240, 530} {
		b.Run(fmt.Sprintf("centre-lost/%d", size), func(b *testing.B) {
			f := newFleet(size, 9)
			f.rounds(10)
			lost := func(i int) bool { return i%6 == 0 }
			left := 0
			for i := range size {
				f.down[i] = lost(i)
				if !lost(i) {
					left++
				}
			}
			b.ReportMetric(f.roundsUntil(b, func() bool { return f.count(lost, jymember.Dead) == left*(size-left) }), "s-virtual")
		})
		b.Run(fmt.Sprintf("regions-apart/%d", size), func(b *testing.B) {
			f := newFleet(size, 10)
			f.rounds(10)
			f.reaches = func(from, to int) bool { return from%2 == to%2 }
			f.rounds(120)
			f.reaches = func(int, int) bool { return true }
			all := func(int) bool { return true }
			b.ReportMetric(f.roundsUntil(b, func() bool { return f.count(all, jymember.Alive) == size*(size-1) }), "s-virtual")
		})
	}
}

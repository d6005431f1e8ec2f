package jymember_test

import (
	"fmt"
	"testing"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// pairCount returns the number of pairs of a running instance and a subject that has status s in the instance's table.
func (f *fleet) pairCount(subjects func(i int) bool, s jymember.Status) int {
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

// roundsUntil runs rounds, of one second each, until done returns true, and returns their number.
func (f *fleet) roundsUntil(b *testing.B, done func() bool) float64 {
	const maxRounds = 300
	for n := range maxRounds {
		if done() {
			return float64(n)
		}
		f.runRound()
	}
	b.Fatal("not done after ", maxRounds, " rounds")
	return maxRounds
}

// BenchmarkSlope measures, by the number of instances, the time until the remaining instances consider all instances of a lost
// data centre Dead, and the time until all instances consider each other Alive after a partition between two regions. The times
// are virtual seconds, with one heartbeat per second. The capacity page refers to the names and the unit.
func BenchmarkSlope(b *testing.B) {
	for _, size := range []int{15, 60, 240, 530} {
		b.Run(fmt.Sprintf("centre-lost/%d", size), func(b *testing.B) {
			f := newFleet(size, 9)
			f.runRounds(10)
			isLost := func(i int) bool { return i%6 == 0 }
			remaining := 0
			for i := range size {
				f.down[i] = isLost(i)
				if !isLost(i) {
					remaining++
				}
			}
			b.ReportMetric(f.roundsUntil(b, func() bool { return f.pairCount(isLost, jymember.Dead) == remaining*(size-remaining) }), "s-virtual")
		})
		b.Run(fmt.Sprintf("regions-apart/%d", size), func(b *testing.B) {
			f := newFleet(size, 10)
			f.runRounds(10)
			f.reaches = func(from, to int) bool { return from%2 == to%2 }
			f.runRounds(120)
			f.reaches = func(int, int) bool { return true }
			all := func(int) bool { return true }
			b.ReportMetric(f.roundsUntil(b, func() bool { return f.pairCount(all, jymember.Alive) == size*(size-1) }), "s-virtual")
		})
	}
}

package jyexperiment

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyaccountquota"
)

// send sends own usage to the local peers and, in rounds, the usage of data centres to the others.
func (f *quotaFleet) send() {
	if f.policy != QuotaMirrored {
		return
	}
	for i := range f.instances {
		in := &f.instances[i]
		if !f.isUp(i) {
			continue
		}
		usage := in.buckets.TakeUsage()
		for _, u := range usage {
			in.sum[u.Account] += u.Admitted
		}
		if len(usage) > 0 {
			f.sendTo(in.centre, quotaDatagram{from: i, usage: usage}, 1)
		}
		if (f.step+in.centre)%quotaRoundSteps == 0 {
			f.sendSum(i)
		}
	}
}

// sendSum sends the usage of an instance's data centre to the others if it is the representative. Others forget it.
func (f *quotaFleet) sendSum(i int) {
	in := &f.instances[i]
	var usage []jyaccountquota.Usage
	for a, n := range in.sum {
		usage = append(usage, jyaccountquota.Usage{Account: a, Admitted: n})
	}
	clear(in.sum)
	if len(usage) == 0 || f.representative(in.centre, i) != i {
		return
	}
	for centre := range f.DataCentres {
		isLost := f.random.Float64() < f.Loss // on the way to the relay
		if centre != in.centre && !isLost {
			f.sendTo(centre, quotaDatagram{from: i, usage: usage, ofCentre: true}, 1+f.random.IntN(quotaRemoteSteps))
		}
	}
}

// sendTo sends a datagram to all instances of a data centre.
func (f *quotaFleet) sendTo(centre int, d quotaDatagram, steps int) {
	for to := centre; to < f.Instances; to += f.DataCentres {
		if to == d.from || f.random.Float64() < f.Loss || !f.reaches(d.from, to) {
			continue
		}
		copied := d
		copied.to = to
		if f.Late > 0 && to%3 == 0 {
			copied.late = time.Duration(f.random.Float64() * float64(f.Late))
		}
		slot := (f.step + steps + int(copied.late/quotaStep)) % quotaSlotSteps
		f.slots[slot] = append(f.slots[slot], copied)
	}
}

// deliver applies a datagram.
func (f *quotaFleet) deliver(d quotaDatagram) {
	if !f.isUp(d.to) {
		return
	}
	in := &f.instances[d.to]
	age := localUsageAge
	if d.ofCentre {
		age = centreUsageAge
	}
	isRepresentative := !d.ofCentre && f.representative(in.centre, d.to) == d.to
	for _, u := range d.usage {
		in.buckets.Observe(f.now(), u, age+d.late)
		if isRepresentative {
			in.sum[u.Account] += u.Admitted
		}
	}
}

// finish computes the result.
func (f *quotaFleet) finish() {
	f.result.Excess = -1e9
	got, allowed := 0.0, 0.0
	for account, steps := range f.admitted {
		q := f.quotas[jyaccountquota.Account(account)]
		from := 0
		if f.FallTo > 0 {
			// The lowered quota applies a window after all instances have had 2.5 s to learn of it.
			from = int((f.SurgeStart + 7500*time.Millisecond) / quotaStep)
		}
		worst := float64(mostInWindow(steps, from, int(5*time.Second/quotaStep)))
		refilled := q.PerSecond*5 + max(1, q.Burst)
		f.result.Excess = max(f.result.Excess, worst-(q.PerSecond*5+q.Burst)*1.25-20)
		f.result.Use = max(f.result.Use, worst/refilled)
		if f.Surges[account+1] > 0 {
			got += float64(min(f.counts[0][account], f.counts[1][account]))
			allowed += float64(f.counts[1][account])
		}
	}
	if allowed > 0 {
		f.result.Shortfall = 1 - got/allowed
	}
}

// mostInWindow returns the largest number of steps, from one on, within any window.
func mostInWindow(steps []int, from, window int) int {
	most, first := 0, 0
	for i, step := range steps {
		for steps[first] < from || steps[first] <= step-window {
			if first == i {
				break
			}
			first++
		}
		if step >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

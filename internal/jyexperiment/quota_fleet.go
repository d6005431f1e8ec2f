package jyexperiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyaccountquota"
)

const (
	quotaStep = 10 * time.Millisecond // of virtual time, and the time for which usage is collected for local peers
	// Datagrams between data centres leave each quotaRoundSteps, and take up to quotaRemoteSteps.
	quotaRoundSteps  = 15
	quotaRemoteSteps = 9
	quotaNoticeTime  = time.Second     // until a silent instance is noticed
	quotaDetectTime  = 3 * time.Second // until another instance takes over as representative
	quotaBootTime    = 300 * time.Millisecond
	quotaSlotSteps   = 1024 // datagrams are delivered within that many steps
	quotaFactor      = 1.6  // quota by usual rate
	localUsageAge    = 100 * time.Millisecond
	centreUsageAge   = 250 * time.Millisecond
)

// quotaFleet is a run of one case in virtual time.
type quotaFleet struct {
	QuotaCase
	policy    QuotaPolicy
	random    *rand.Rand
	start     time.Time
	step      int
	instances []quotaInstance
	quotas    map[jyaccountquota.Account]jyaccountquota.Quota
	rates     []float64
	slots     [quotaSlotSteps][]quotaDatagram
	returns   [quotaSlotSteps][]int // accounts of callers that come back, by step
	central   []centralBucket
	admitted  [][]int // by account and step
	counts    [2][]int
	result    QuotaResult
}

// quotaInstance is an instance, with the usage of its data centre since the last round.
type quotaInstance struct {
	buckets *jyaccountquota.Buckets
	centre  int
	sum     map[jyaccountquota.Account]int
}

// quotaDatagram is usage on its way to an instance.
type quotaDatagram struct {
	from, to int
	usage    []jyaccountquota.Usage
	ofCentre bool
	late     time.Duration
}

// centralBucket is the token bucket of an account that all requests ask.
type centralBucket struct {
	level float64
	at    time.Duration
}

// RunQuotas runs a case with a policy.
func RunQuotas(c QuotaCase, policy QuotaPolicy, seed uint64) QuotaResult {
	f := &quotaFleet{QuotaCase: c, policy: policy, random: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(0, 0), quotas: map[jyaccountquota.Account]jyaccountquota.Quota{}}
	f.makeAccounts()
	f.instances = make([]quotaInstance, c.Instances)
	for i := range f.instances {
		f.boot(i, -time.Minute)
	}
	for f.step = 0; f.elapsed() < c.Length; f.step++ {
		f.runStep()
	}
	f.finish()
	return f.result
}

func (f *quotaFleet) elapsed() time.Duration { return time.Duration(f.step) * quotaStep }
func (f *quotaFleet) now() time.Time         { return f.start.Add(f.elapsed()) }

// boot starts an instance with nothing remembered.
func (f *quotaFleet) boot(i int, at time.Duration) {
	buckets := jyaccountquota.New(jyaccountquota.Config{
		Start: f.start.Add(at), MaxAccounts: 54_000, Random: f.random, IsApart: f.policy == QuotaEqual,
	})
	buckets.SetQuotas(f.quotas)
	f.instances[i] = quotaInstance{buckets: buckets, centre: i % f.DataCentres, sum: map[jyaccountquota.Account]int{}}
}

// makeAccounts sets the accounts' usual rates and quotas.
func (f *quotaFleet) makeAccounts() {
	sum := 0.0
	for i := range f.Accounts {
		weight := math.Pow(float64(i+1), -1.2)
		if f.EqualRates {
			weight = 1
		}
		f.rates = append(f.rates, weight)
		sum += weight
	}
	for i := range f.rates {
		f.rates[i] *= f.Rate / sum
		quota := f.rates[i] * quotaFactor
		f.quotas[jyaccountquota.Account(i)] = jyaccountquota.Quota{PerSecond: quota, Burst: quota}
		f.central = append(f.central, centralBucket{level: max(1, quota)})
	}
	f.admitted = make([][]int, f.Accounts)
	f.counts = [2][]int{make([]int, f.Accounts), make([]int, f.Accounts)}
}

// runStep delivers datagrams, sends requests and then datagrams.
func (f *quotaFleet) runStep() {
	f.applyFailures()
	slot := f.step % quotaSlotSteps
	for _, d := range f.slots[slot] {
		f.deliver(d)
	}
	f.slots[slot] = f.slots[slot][:0]
	back := f.returns[slot]
	f.returns[slot] = nil
	for _, account := range back {
		f.request(account, false)
	}
	for account := range f.rates {
		for range f.arrivals(account) {
			f.request(account, f.Returns)
		}
	}
	f.send()
}

// applyFailures changes quotas and starts instances at their times, and sets what instances know of each other.
func (f *quotaFleet) applyFailures() {
	if f.FallTo > 0 && f.elapsed() == f.SurgeStart {
		for rank := range f.Surges {
			a := jyaccountquota.Account(rank - 1)
			q := f.quotas[a]
			f.quotas[a] = jyaccountquota.Quota{PerSecond: q.PerSecond * f.FallTo, Burst: q.Burst * f.FallTo}
		}
	}
	for i := range f.instances {
		if f.Killed != nil && f.Killed(i) && f.elapsed() == f.PartEnd {
			f.boot(i, f.elapsed())
		}
		if f.policy == QuotaAlone {
			f.instances[i].buckets.SetCoverage(f.now(), 2, 2)
			continue
		}
		if f.step%10 == 0 {
			f.instances[i].buckets.SetCoverage(f.now(), f.heard(i), f.known())
		}
	}
}

// known returns the number of instances that have not left.
func (f *quotaFleet) known() int {
	if !f.Joins || !f.inPart() {
		return f.Instances
	}
	out := 0
	for i := range f.instances {
		if f.isUp(i) {
			out++
		}
	}
	return out
}

func (f *quotaFleet) inPart() bool { return f.elapsed() >= f.PartStart && f.elapsed() < f.PartEnd }

func (f *quotaFleet) isUp(i int) bool { return f.Killed == nil || !f.Killed(i) || !f.inPart() }

func (f *quotaFleet) reaches(i, j int) bool {
	return f.isUp(i) && f.isUp(j) && (f.Parts == nil || !f.inPart() || f.Parts(i) == f.Parts(j))
}

// isBooting reports whether an instance has just started and has not heard another one.
func (f *quotaFleet) isBooting(i int) bool {
	sinceEnd := f.elapsed() - f.PartEnd
	return f.Killed != nil && f.Killed(i) && sinceEnd >= 0 && sinceEnd < quotaBootTime
}

// heard returns how many instances an instance heard within the last second.
func (f *quotaFleet) heard(i int) int {
	if f.isBooting(i) {
		return 1
	}
	if !f.inPart() || f.elapsed() < f.PartStart+quotaNoticeTime {
		return f.Instances
	}
	out := 0
	for j := range f.instances {
		isNear := f.instances[i].centre == f.instances[j].centre
		if f.reaches(i, j) && (isNear || f.representative(f.instances[j].centre, i) >= 0) {
			out++
		}
	}
	return out
}

// representative returns the instance that sends the usage of a data centre to instance i, or -1.
func (f *quotaFleet) representative(centre, i int) int {
	for j := centre; j < f.Instances; j += f.DataCentres {
		if f.reaches(i, j) {
			return j
		}
		if f.elapsed() < f.PartStart+quotaDetectTime {
			return -1
		}
	}
	return -1
}

// arrivals returns the number of an account's requests in the step.
func (f *quotaFleet) arrivals(account int) int {
	rate := f.rates[account]
	if factor := f.Surges[account+1]; factor > 0 && f.elapsed() >= f.SurgeStart && f.elapsed() < f.SurgeEnd {
		rate *= factor
	}
	n, p, limit := 0, f.random.Float64(), math.Exp(-rate*quotaStep.Seconds())
	for p > limit {
		n++
		p *= f.random.Float64()
	}
	return n
}

// request sends a request of the account to an instance that runs.
func (f *quotaFleet) request(account int, returns bool) {
	count := f.Instances
	if f.OnInstances > 0 && f.Surges[account+1] > 0 {
		count = f.OnInstances
	}
	i := f.random.IntN(count)
	if !f.isUp(i) {
		return
	}
	f.result.Requests++
	a := jyaccountquota.Account(account)
	isWithin := f.asksCentral(account, f.quotas[a])
	isAdmitted, wait := isWithin, time.Duration(0)
	if f.policy == QuotaOwner {
		isAdmitted = isWithin && f.reaches(i, account%f.Instances)
	} else {
		isAdmitted, wait = f.instances[i].buckets.Admit(f.now(), a, f.quotas[a])
	}
	f.record(account, isWithin && !f.isBooting(i), isAdmitted)
	if !isAdmitted && returns {
		slot := (f.step + int(wait/quotaStep)) % quotaSlotSteps
		f.returns[slot] = append(f.returns[slot], account)
	}
}

// asksCentral reports whether the central counter admits a request.
func (f *quotaFleet) asksCentral(account int, q jyaccountquota.Quota) bool {
	b := &f.central[account]
	b.level = min(max(1, q.Burst), b.level+q.PerSecond*(f.elapsed()-b.at).Seconds())
	b.at = f.elapsed()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (f *quotaFleet) record(account int, isWithin, isAdmitted bool) {
	if isAdmitted {
		f.admitted[account] = append(f.admitted[account], f.step)
		f.counts[0][account]++
	}
	if isWithin {
		f.counts[1][account]++
	}
	if f.Surges[account+1] > 0 || !isWithin {
		return
	}
	f.result.WithinQuota++
	if !isAdmitted {
		f.result.WronglyRefused++
	}
}

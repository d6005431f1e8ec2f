package jyexperiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydistance"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

const (
	// loadViewInterval is the time between two views of the loads of another data centre's servers.
	loadViewInterval = 150 * time.Millisecond
	// capacityViewInterval is the time between two statements of a data centre's capacity.
	capacityViewInterval = time.Second
	// shareInterval is the time between two updates of the shares.
	shareInterval = 100 * time.Millisecond
	// fixedDistanceCost is the cost of another data centre under DistanceFixedCost, and under DistanceByShare without views.
	fixedDistanceCost = 0.05
	// serverTimeSigma is the standard deviation of the logarithm of service times, with a 98th percentile of four times the mean.
	serverTimeSigma = 0.85
	// turnThreshold is the least change of a share that counts as a rise or a fall.
	turnThreshold = 0.02
)

// distanceSim is a run of a DistanceCase in virtual time. Each data centre decides as one instance.
type distanceSim struct {
	clock
	config DistanceCase
	// random drives the policy. Arrivals and service times have generators of their own, so that all policies get the same ones.
	random    *rand.Rand
	arrivals  []*rand.Rand // by data centre
	centres   []*distanceCentre
	servers   []*distanceServer
	latencies []time.Duration
	requests  float64
	elsewhere float64
	result    DistanceResult
}

type distanceServer struct {
	centre  int
	rank    int // among the servers of its data centre
	busy    int
	waiting []*distanceRequest
	// held is the number of requests of each data centre at the server, and seen the load that other data centres know.
	held []int
	seen int
}

// distanceCentre is what a data centre knows and decides.
type distanceCentre struct {
	share     jydistance.Share
	demand    jydistance.Demand
	load      jydistance.Level
	ours      []jydistance.Level // at the servers of each data centre
	shedModel jyplace.ShedModel
	trend     trend
}

type distanceRequest struct {
	arrived time.Duration
	from    int
	tried   int // index of the server that shed it, or -1
	loadAt  float64
	work    time.Duration // time in a slot
}

// SimulateDistance runs the case and returns the outcomes of its requests.
func SimulateDistance(c DistanceCase, seed uint64) DistanceResult {
	s := &distanceSim{config: c, random: rand.New(rand.NewPCG(seed, 11))}
	for i, centre := range c.Centres {
		s.centres = append(s.centres, &distanceCentre{ours: make([]jydistance.Level, len(c.Centres))})
		for rank := range centre.Servers {
			s.servers = append(s.servers, &distanceServer{centre: i, rank: rank, held: make([]int, len(c.Centres))})
		}
		s.arrivals = append(s.arrivals, rand.New(rand.NewPCG(seed, uint64(100+i))))
		s.after(0, func() { s.arrive(i) })
		offset := capacityViewInterval * time.Duration(i) / time.Duration(len(c.Centres))
		s.after(offset, func() { s.stateCapacity(i) })
	}
	s.after(0, s.viewLoads)
	s.after(0, s.updateShares)
	s.run()
	return s.finish()
}

func (s *distanceSim) finish() DistanceResult {
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		s.result.P99 = s.latencies[n*99/100]
	}
	for _, c := range s.centres {
		s.result.DirectionTurns = max(s.result.DirectionTurns, c.trend.turns)
	}
	s.result.InObjective /= s.requests
	s.result.Elsewhere = s.elsewhere / s.requests
	s.result.Bytes = s.elsewhere * s.config.RequestBytes
	return s.result
}

func (s *distanceSim) wallTime() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

// arrive places a new request of a data centre's callers and schedules the next one.
func (s *distanceSim) arrive(from int) {
	if s.now >= s.config.RunDuration {
		return
	}
	random := s.arrivals[from]
	s.after(time.Duration(random.ExpFloat64()/s.rate(from)*float64(time.Second)), func() { s.arrive(from) })
	s.requests++
	factor := math.Exp(serverTimeSigma*random.NormFloat64() - serverTimeSigma*serverTimeSigma/2)
	s.place(&distanceRequest{arrived: s.now, from: from, tried: -1, work: time.Duration(float64(s.config.MeanServiceTime) * factor)})
}

// rate returns the number of requests per second that the data centre's callers send now.
func (s *distanceSim) rate(centre int) float64 {
	c := s.config.Centres[centre]
	mean := c.Utilization * float64(c.Servers*s.config.Slots) / s.config.MeanServiceTime.Seconds()
	if s.config.WavePeriod == 0 {
		return mean
	}
	angle := 2 * math.Pi * (s.now.Seconds()/s.config.WavePeriod.Seconds() + c.Phase)
	return mean * (1 + s.config.WaveAmplitude*math.Sin(angle))
}

// works reports whether the server works now, which all data centres know.
func (s *distanceSim) works(v *distanceServer) bool {
	if v.centre != 0 || s.now < s.config.FaultFrom || s.now >= s.config.FaultUntil {
		return true
	}
	return float64(v.rank) < s.config.WorkingShare*float64(s.config.Centres[0].Servers)
}

// place sends the request to the server that the policy selects. A shed request is tried at one other server.
func (s *distanceSim) place(r *distanceRequest) {
	c := s.centres[r.from]
	i := s.choose(r)
	if i == jyplace.None {
		return
	}
	v := s.servers[i]
	if v.centre != r.from {
		s.elsewhere++
		if s.hasRoom(r.from) {
			s.result.BytesWithRoom += s.config.RequestBytes
		}
	}
	r.loadAt = s.knownLoad(v, r.from)
	c.demand.Sent(s.wallTime(), 1)
	switch {
	case v.busy < s.config.Slots:
		v.held[r.from]++
		v.busy++
		s.serve(v, r)
	case len(v.waiting) < s.config.QueueLength:
		v.held[r.from]++
		v.waiting = append(v.waiting, r)
	default:
		c.shedModel.RecordShed(int(r.loadAt), s.config.Slots)
		if r.tried < 0 {
			r.tried = i
			s.place(r)
		}
	}
}

// serve serves the request in a slot that the caller has marked as busy.
func (s *distanceSim) serve(v *distanceServer, r *distanceRequest) {
	s.after(r.work, func() {
		v.busy--
		v.held[r.from]--
		if len(v.waiting) > 0 {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			v.busy++
			s.serve(v, next)
		}
		s.recordAnswer(v, r)
	})
}

func (s *distanceSim) recordAnswer(v *distanceServer, r *distanceRequest) {
	s.centres[r.from].shedModel.RecordAccepted(int(r.loadAt), s.config.Slots)
	latency := s.now - r.arrived
	if v.centre != r.from {
		latency += s.config.RoundTrip
	}
	s.latencies = append(s.latencies, latency)
	if latency <= s.config.Objective {
		s.result.InObjective++
	}
}

// load returns the number of requests at the server.
func (v *distanceServer) load() int {
	sum := 0
	for _, n := range v.held {
		sum += n
	}
	return sum
}

// knownLoad returns the load of a server as a data centre knows it.
func (s *distanceSim) knownLoad(v *distanceServer, from int) float64 {
	if v.centre == from || s.config.Policy == DistanceAllKnown {
		return float64(v.load())
	}
	return float64(max(v.held[from], v.seen))
}

// isSilent reports whether data centres get no views of each other now.
func (s *distanceSim) isSilent() bool {
	return s.now >= s.config.SilentFrom && s.now < s.config.SilentUntil
}

// viewLoads passes the loads of all servers on to the other data centres.
func (s *distanceSim) viewLoads() {
	if s.now >= s.config.RunDuration {
		return
	}
	s.after(loadViewInterval, s.viewLoads)
	for _, v := range s.servers {
		v.seen = v.load()
		if s.isSilent() {
			v.seen = 0
		}
	}
}

// stateCapacity passes the capacity of a data centre on to the others.
func (s *distanceSim) stateCapacity(of int) {
	if s.now >= s.config.RunDuration {
		return
	}
	s.after(capacityViewInterval, func() { s.stateCapacity(of) })
	if s.isSilent() {
		return
	}
	capacity := jydistance.Capacity{Slots: s.slots(of), Load: s.centres[of].load.Value()}
	for i, c := range s.centres {
		if i != of {
			c.share.ObserveView(s.wallTime(), centreName(of), capacity, c.ours[of].Value())
		}
	}
}

func centreName(i int) jydistance.Centre { return jydistance.Centre(strconv.Itoa(i)) }

// slots returns the slots of the data centre's servers that work.
func (s *distanceSim) slots(centre int) float64 {
	sum := 0
	for _, v := range s.servers {
		if v.centre == centre && s.works(v) {
			sum += s.config.Slots
		}
	}
	return float64(sum)
}

// hasRoom reports whether the servers of the data centre hold fewer requests than their usable slots.
func (s *distanceSim) hasRoom(centre int) bool {
	load := 0
	for _, v := range s.servers {
		if v.centre == centre {
			load += v.load()
		}
	}
	return float64(load) < jydistance.Usable(s.slots(centre))
}

// updateShares updates the shares of all data centres.
func (s *distanceSim) updateShares() {
	if s.now >= s.config.RunDuration {
		return
	}
	s.after(shareInterval, s.updateShares)
	now := s.wallTime()
	for i, c := range s.centres {
		load, held, all := 0.0, make([]float64, len(s.centres)), 0.0
		for _, v := range s.servers {
			if v.centre == i {
				load += float64(v.load())
			}
			held[v.centre] += float64(v.held[i])
			all += float64(v.held[i])
		}
		c.load.Sample(now, load)
		for k := range held {
			c.ours[k].Sample(now, held[k])
		}
		c.share.Update(now, s.slots(i), c.demand.Slots(now, all, s.config.MeanServiceTime))
		c.trend.add(c.share.Total())
	}
}

// trend counts how often a value turns from rising to falling or back.
type trend struct {
	extreme float64 // reached in the current direction
	sign    float64 // of the current direction; 0 before the first change
	turns   int
}

func (t *trend) add(x float64) {
	change := x - t.extreme
	switch {
	case t.sign*change > 0:
		t.extreme = x
	case math.Abs(change) < turnThreshold:
	default:
		if t.sign != 0 {
			t.turns++
		}
		t.sign, t.extreme = math.Copysign(1, change), x
	}
}

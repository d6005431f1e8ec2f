package jycapacity_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jymetric"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jyreport"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jylimit"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
)

const (
	heapUnit = "B-heap"
	wireUnit = "B-wire"
	fileUnit = "B-file"
)

var (
	instanceSizes = []int{15, 60, 240, 530}
	serverSizes   = []int{29, 440, 4400}
	serviceSizes  = []int{3, 30, 270}
	retained      any // keeps the latest result measured by heapOf reachable
)

// heapOf returns the heap bytes that the result of build keeps in use. Call it before b.Loop, so that it isn't timed, and defer the
// report of its result, because the first call of b.Loop discards the metrics reported before.
func heapOf(build func() any) float64 {
	retained = nil
	before := heapInUse()
	retained = build()
	after := heapInUse()
	return max(0, float64(after)-float64(before))
}

// heapInUse returns the bytes of the heap that are in use after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// runSizes runs a sub-benchmark for each size, named after it.
func runSizes(b *testing.B, list []int, run func(b *testing.B, n int)) {
	for _, n := range list {
		b.Run(strconv.Itoa(n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkSlope measures the costs that the capacity page extrapolates, at several sizes. jycapacity.ParseBenchmarks reads its
// output, and the formulas of the page refer to the names and units of its sub-benchmarks.
func BenchmarkSlope(b *testing.B) {
	benchmarks := map[string]struct {
		sizes []int
		run   func(b *testing.B, n int)
	}{
		"heartbeat":      {instanceSizes, heartbeat},
		"everything":     {instanceSizes, fullState},
		"ranked":         {instanceSizes, workingMembers},
		"release-apply":  {serverSizes, releaseApply},
		"release-state":  {serverSizes, releaseState},
		"report":         {[]int{1, 4, 16, 64}, report},
		"pool":           {instanceSizes, aggregate},
		"totals":         {serviceSizes, readCounts},
		"ledger":         {[]int{1000, 5000, 20000}, ledger},
		"hand-over":      {[]int{1, 10, 100}, handOver},
		"limiter":        {[]int{1000, 9000, 27000}, limiter},
		"routes":         {[]int{20, 200, 1300}, routes},
		"burn":           {serviceSizes, burn},
		"metrics":        {serviceSizes, metrics},
		"connections":    {[]int{10, 100, 400}, connections},
		"announce":       {[]int{1}, announce},
		"new-connection": {[]int{1}, newConnection},
		"spread":         {instanceSizes, spreadNote},
		"watch":          {[]int{1}, watch},
	}
	for _, name := range slices.Sorted(maps.Keys(benchmarks)) {
		v := benchmarks[name]
		b.Run(name, func(b *testing.B) { runSizes(b, v.sizes, v.run) })
	}
}

func newMember(i int) jymember.Member {
	return jymember.Member{
		Name: jymember.Name(fmt.Sprintf("entry-%03d", i)), Boot: jymember.Boot(1796352455905 + i), Incarnation: 1,
		Address: fmt.Sprintf("10.1.%d.%d:9080", i/250, i%250), DataCentre: fmt.Sprint("centre-", i%6), Region: fmt.Sprint("region-", i%2),
	}
}

// newTable returns the membership table of one instance in a fleet of the given size, without pending updates.
func newTable(self, instances int) *jymember.Table {
	t := jymember.NewTable(jymember.Config{
		SuspectTimeout: 3 * time.Second, DeadRetention: time.Minute, SuccessionRetention: time.Hour, Helpers: 3, UpdatesPerCall: 40,
	}, newMember(self))
	var all []jymember.Update
	for i := range instances {
		if i != self {
			m := newMember(i)
			all = append(all, jymember.Update{Member: &m})
		}
	}
	t.MergeFullState(time.Now(), all)
	for range 100 {
		t.Updates()
	}
	return t
}

// fullState measures encoding the answer to a first heartbeat, which carries the full state, and its size.
func fullState(b *testing.B, instances int) {
	t := newTable(0, instances)
	size := 0
	for b.Loop() {
		raw, err := proto.Marshal(&jywire.HeartbeatResponse{Updates: jypeer.UpdatesToWire(t.FullState())})
		require.NoError(b, err)
		size = len(raw)
	}
	b.ReportMetric(float64(size), wireUnit)
}

// workingMembers measures listing the working instances, among which the aggregator of a service's evidence is chosen.
func workingMembers(b *testing.B, instances int) {
	t := newTable(0, instances)
	for b.Loop() {
		t.Working()
	}
}

// newState returns a release state with the given number of backend servers, about 16 of them per service, and with routes in the
// proportion of the target size.
func newState(servers int) jynote.State {
	const perService = 16
	s := jynote.State{Number: 1}
	for i := range max(1, servers/perService) {
		s.Services = append(s.Services, jynote.Service{
			Name: jynote.ServiceName(fmt.Sprintf("service-%03d", i)), Floor: 30, DeadlineMilliseconds: 3000, ServerDaysPerFalseEjection: 1000,
			MaxBodyBytes: 1 << 20, Objective: jynote.Objective{SuccessShare: 0.999, LatencyMilliseconds: 400},
			NotRunMarks: []jynote.Mark{{Header: "Backend-Not-Run", Value: "true"}}, DrainMark: jynote.Mark{Header: "Backend-Draining", Value: "true"},
		})
	}
	for i := range servers {
		s.BackendServers = append(s.BackendServers, jynote.BackendServer{
			Name: jynote.ServerName(fmt.Sprintf("server-%04d", i)), Service: s.Services[i%len(s.Services)].Name, Slots: 4, Connections: 300,
			Address: fmt.Sprintf("10.2.%d.%d:8080", i/250, i%250), DataCentre: jynote.DataCentreName(fmt.Sprint("centre-", i%6)),
		})
	}
	for i := range max(1, servers*1300/4400) {
		s.Routes = append(s.Routes, jynote.Route{
			Name: jynote.RouteName(fmt.Sprintf("route-%04d", i)), PathPrefix: fmt.Sprintf("/area-%d/part-%d", i%40, i), Service: s.Services[i%len(s.Services)].Name,
		})
	}
	return s
}

func newDirectory(instances int) *jybackend.Directory {
	return jybackend.NewDirectory(jybackend.Config{
		Instance: "entry-000", CountInstances: func() int { return instances }, InSameRegion: func(jynote.DataCentreName) bool { return true },
	})
}

// releaseApply measures applying a note that changes one server, and the memory of the applied state.
func releaseApply(b *testing.B, servers int) {
	defer b.ReportMetric(heapOf(func() any {
		d := newDirectory(530)
		d.Apply(newState(servers))
		return d
	}), heapUnit)
	d := newDirectory(530)
	s := newState(servers)
	d.Apply(s)
	for b.Loop() {
		changed := s.BackendServers[0]
		changed.Slots = 2 + int(s.Number%2)
		note := jynote.Note{Number: s.Number + 1}
		note.Changed.BackendServers = []jynote.BackendServer{changed}
		next, faults := jynote.Apply(s, note, []byte("published"))
		require.Empty(b, faults)
		s = next
		d.Apply(s)
	}
}

// releaseState measures encoding the full release state, its size on the wire, and its size as a base note.
func releaseState(b *testing.B, servers int) {
	s := newState(servers)
	size := 0
	for b.Loop() {
		raw, err := s.Encode()
		require.NoError(b, err)
		size = len(raw)
	}
	b.ReportMetric(float64(size), wireUnit)
	note := jynote.Note{Number: 1, Base: true}
	note.Added = jynote.Entries{Services: s.Services, BackendServers: s.BackendServers, Routes: s.Routes}
	raw, err := json.Marshal(note)
	require.NoError(b, err)
	b.ReportMetric(float64(len(raw)), fileUnit)
}

// newReport returns a report of 20 attempts at each of a service's servers, which follows reports of n attempts.
func newReport(reporter, servers int, n uint64) *jywire.ReportRequest {
	r := &jywire.ServiceReport{Service: "service-100"}
	for i := range servers {
		r.Totals = append(r.Totals, jypeer.TotalsToWire(jydetector.Totals{
			Server: jydetector.ServerName(fmt.Sprintf("service-100-server-%02d", i)),
			Base:   jydetector.Counts{Attempts: 100000 + n, Failures: 100, Slow: 1000}, Now: jydetector.Counts{Attempts: 100020 + n, Failures: 100, Slow: 1001},
		}))
	}
	return &jywire.ReportRequest{Reporter: fmt.Sprintf("entry-%03d", reporter), Boot: 1796352455905, DataCentre: fmt.Sprint("centre-", reporter%6), Services: []*jywire.ServiceReport{r}}
}

// aggregate measures a report to the detector of a service with 16 servers, and the memory of the detector. Each instance reports
// on three of the servers.
func aggregate(b *testing.B, instances int) {
	const servers, serversPerReporter = 16, 3
	counts := map[int]jydetector.Counts{}
	now := time.Now()
	build := func() *jydetector.Detector {
		d := jydetector.New(jydetector.Config{ServerDaysPerFalseEjection: 1000, FloorSlots: 10})
		var list []jydetector.Server
		for i := range servers {
			list = append(list, jydetector.Server{Name: jydetector.ServerName(fmt.Sprintf("server-%02d", i)), Slots: 4})
		}
		d.SetServers(now, list)
		return d
	}
	observe := func(d *jydetector.Detector, i int) {
		reporter := i % instances
		now = now.Add(time.Millisecond)
		base := counts[reporter]
		next := jydetector.Counts{Attempts: base.Attempts + 10, Slow: base.Slow + uint64(i%2)}
		counts[reporter] = next
		r := jydetector.Report{
			Reporter: jydetector.ReporterName(fmt.Sprintf("entry-%03d", reporter)),
			Group:    jydetector.GroupName(fmt.Sprint("centre-", reporter%6)),
			Boot:     1,
		}
		for k := range serversPerReporter {
			r.Totals = append(r.Totals, jydetector.Totals{
				Server: jydetector.ServerName(fmt.Sprintf("server-%02d", (reporter+k*5)%servers)),
				Base:   base, Now: next,
			})
		}
		d.Observe(now, r)
	}
	defer b.ReportMetric(heapOf(func() any {
		d := build()
		for i := range instances * 4 {
			observe(d, i)
		}
		return d
	}), heapUnit)
	clear(counts)
	d := build()
	i := 0
	for b.Loop() {
		observe(d, i)
		i++
	}
}

// readCounts measures reading the counts of all services, as for a periodic report.
func readCounts(b *testing.B, services int) {
	d := newDirectory(530)
	d.Apply(newState(services * 16))
	for b.Loop() {
		for _, v := range d.Snapshot().Services() {
			for _, s := range v.Servers {
				if s.Counts().Attempts > 0 {
					b.Fatal("a server has attempts, although no request was sent")
				}
			}
		}
	}
}

// limiter measures admitting and ending a caller's request, and the memory of the callers' entries.
func limiter(b *testing.B, callers int) {
	names := make([]string, callers)
	for i := range names {
		names[i] = fmt.Sprintf("%032x", i)
	}
	build := func() *jylimit.Limiter {
		l := jylimit.New(jylimit.Config{Rate: 100, Burst: 100, Concurrency: 10, MaxCallers: callers})
		for _, n := range names {
			l.Begin(time.Now(), n)
			l.End(n)
		}
		return l
	}
	defer b.ReportMetric(heapOf(func() any { return build() }), heapUnit)
	l := build()
	i := 0
	now := time.Now()
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		l.Begin(now, names[i%callers])
		l.End(names[i%callers])
	}
}

// routes measures finding a request's route among about n, and the memory of the routing table.
func routes(b *testing.B, n int) {
	s := newState(n * 4400 / 1300)
	defer b.ReportMetric(heapOf(func() any { return jyroute.NewTable(s) }), heapUnit)
	t := jyroute.NewTable(s)
	i := 0
	for b.Loop() {
		i++
		r := s.Routes[i%len(s.Routes)]
		if _, ok := t.Find(jyroute.Request{Method: "GET", Path: r.PathPrefix + "/item/7"}); !ok {
			b.Fatal("no route found for a path below the prefix of a route")
		}
	}
}

// burn measures counting the outcome of a request, and the memory of the counts.
func burn(b *testing.B, services int) {
	d := newDirectory(530)
	d.Apply(newState(services * 16))
	m := jymetric.New()
	defer func() { _ = m.Close() }()
	names := d.Snapshot().State.Services
	defer b.ReportMetric(heapOf(func() any {
		r := jyreport.NewBurnRecorder(d, m)
		for _, s := range names {
			r.Record(jymetric.EndedRequest{Service: s.Name, Outcome: jyoutcome.Complete, Status: 200, Latency: time.Millisecond})
		}
		return r
	}), heapUnit)
	r := jyreport.NewBurnRecorder(d, m)
	i := 0
	for b.Loop() {
		i++
		r.Record(jymetric.EndedRequest{Service: names[i%len(names)].Name, Outcome: jyoutcome.Complete, Status: 200, Latency: time.Millisecond})
	}
}

// metrics measures the memory of all metrics.
func metrics(b *testing.B, services int) {
	defer b.ReportMetric(heapOf(func() any {
		m := jymetric.New()
		for i := range services {
			for _, o := range []jyoutcome.Outcome{jyoutcome.Complete, jyoutcome.NotRun, jyoutcome.Unknown} {
				m.RecordRequest(jymetric.EndedRequest{
					Route: jynote.RouteName(fmt.Sprint("route-", i)), Service: jynote.ServiceName(fmt.Sprint("service-", i)), Outcome: o, Latency: time.Millisecond,
				})
			}
		}
		time.Sleep(2 * time.Second) // the metrics are flushed every second
		return m
	}), heapUnit)
	for b.Loop() {
		runtime.KeepAlive(retained)
	}
	_ = retained.(*jymetric.Metrics).Close()
}

// connections measures the memory of open connections to backend servers.
func connections(b *testing.B, n int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
		}
	}()
	p := jybackend.NewPool(jybackend.PoolConfig{Address: listener.Addr().String(), ConnectTimeout: time.Second, MaxIdle: time.Minute})
	p.SetMaxOpen(n)
	defer p.Close()
	defer b.ReportMetric(heapOf(func() any {
		list := make([]*jybackend.Connection, 0, n)
		for range n {
			c, err := p.Open(b.Context(), time.Now())
			require.NoError(b, err)
			list = append(list, c)
		}
		return list
	}), heapUnit)
	for b.Loop() {
		runtime.KeepAlive(retained)
	}
	for _, c := range retained.([]*jybackend.Connection) {
		p.Put(c, time.Now())
	}
}

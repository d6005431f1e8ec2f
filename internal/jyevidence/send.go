package jyevidence

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// batch is a report on services that have the same first aggregating instance.
type batch struct {
	// to are the aggregating instances, tried in order. All services of the batch have the first one in common; the others are
	// those of its first service.
	to       []jymember.Member
	services []*jywire.ServiceReport
}

// assign adds the totals of a service to the batch for its first aggregating instance.
func (e *Evidence) assign(batches map[jymember.Name]*batch, s jynote.ServiceName, totals []jydetector.Totals) {
	to := e.config.Fleet.RankedForKey("pool/"+string(s), aggregatorsPerService, nil)
	if len(to) == 0 {
		return
	}
	b := batches[to[0].Name]
	if b == nil {
		b = &batch{to: to}
		batches[to[0].Name] = b
	}
	r := &jywire.ServiceReport{Service: string(s)}
	for _, t := range totals {
		r.Totals = append(r.Totals, jypeer.TotalsToWire(t))
	}
	b.services = append(b.services, r)
}

// send sends a batch to the first aggregating instance that answers and applies the returned verdicts. Totals are cumulative: an
// aggregating instance that has earlier totals of this reporter counts the requests of a lost batch when the next one arrives.
func (e *Evidence) send(ctx context.Context, b *batch) {
	self := e.config.Fleet.Self()
	message := &jywire.ReportRequest{
		Reporter: string(self.Name), Boot: uint64(self.Boot), DataCentre: self.DataCentre, Services: b.services,
	}
	for _, m := range b.to {
		if m.Name == self.Name {
			e.applyVerdicts(e.aggregator.record(message))
			return
		}
		ctx, cancel := context.WithTimeout(ctx, e.config.Timeout)
		r, err := e.config.Clients.At(m.Address).Report(ctx, connect.NewRequest(message))
		cancel()
		if err == nil {
			e.applyVerdicts(r.Msg.GetServices())
			return
		}
	}
}

// applyVerdicts applies the verdicts of an aggregating instance, unless newer ones of the same run were applied already.
func (e *Evidence) applyVerdicts(list []*jywire.ServiceVerdicts) {
	snapshot := e.config.Directory.Snapshot()
	now := time.Now()
	for _, w := range list {
		v := snapshot.Service(jynote.ServiceName(w.GetService()))
		if v != nil && e.recordIfNewer(v.Info.Name, verdictVersion{run: jypeer.RunFromWire(w.GetPooledBy()), number: w.GetVersion()}) {
			v.SetFleetVerdicts(jypeer.VerdictsFromWire(now, w.GetVerdicts()))
		}
	}
}

// recordIfNewer records a version as applied and returns true. It returns false if the last applied version is of the same run
// and at least as new, since answers may arrive out of order.
func (e *Evidence) recordIfNewer(s jynote.ServiceName, latest verdictVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.applied[s]; old.run == latest.run && latest.number <= old.number {
		return false
	}
	e.applied[s] = latest
	return true
}

// pushVerdicts applies changed verdicts here and sends them to all instances that report on these services, so that they need
// not wait for the answer to their next report.
func (e *Evidence) pushVerdicts(ctx context.Context) {
	changed := e.changed.Drain(nil)
	if len(changed) == 0 {
		return
	}
	e.applyVerdicts(e.aggregator.verdictsFor(changed, e.config.Fleet.Self().Name))
	for _, m := range e.config.Fleet.Members() {
		message := &jywire.TellRequest{Services: e.aggregator.verdictsFor(changed, m.Name)}
		if len(message.Services) == 0 || m.Address == "" {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, e.config.Timeout)
			defer cancel()
			// An error is ignored: the answer to the next report has the verdicts too.
			_, _ = e.config.Clients.At(m.Address).Tell(ctx, connect.NewRequest(message))
		}()
	}
}

// Report records a peer's report and answers with the verdicts on its services.
func (e *Evidence) Report(_ context.Context, r *connect.Request[jywire.ReportRequest]) (*connect.Response[jywire.ReportResponse], error) {
	return connect.NewResponse(&jywire.ReportResponse{Services: e.aggregator.record(r.Msg)}), nil
}

// Tell applies verdicts that an aggregating instance sent.
func (e *Evidence) Tell(_ context.Context, r *connect.Request[jywire.TellRequest]) (*connect.Response[jywire.TellResponse], error) {
	e.applyVerdicts(r.Msg.GetServices())
	return connect.NewResponse(&jywire.TellResponse{}), nil
}

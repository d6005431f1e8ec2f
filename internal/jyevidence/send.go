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

// batch is what one message carries to the pooling instances of its services.
type batch struct {
	to       []jymember.Member
	services []*jywire.ServiceReport
}

func (e *Evidence) assign(batches map[jymember.Name]*batch, s jynote.ServiceName, totals []jydetector.Totals) {
	to := e.config.Fleet.RankedForKey("pool/"+string(s), pooledBy, nil)
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

// send brings a batch to the first pooling instance that answers, and takes its verdicts over.
func (e *Evidence) send(ctx context.Context, b *batch) {
	self := e.config.Fleet.Self()
	message := &jywire.ReportRequest{
		Reporter: string(self.Name), Boot: uint64(self.Boot), DataCentre: self.DataCentre, Services: b.services,
	}
	for _, m := range b.to {
		if m.Name == self.Name {
			e.takeVerdicts(e.pool.take(message))
			return
		}
		ctx, cancel := context.WithTimeout(ctx, e.config.Timeout)
		r, err := e.config.Clients.At(m.Address).Report(ctx, connect.NewRequest(message))
		cancel()
		if err == nil {
			e.takeVerdicts(r.Msg.GetServices())
			return
		}
	}
}

// takeVerdicts makes this instance follow the verdicts of the one that pools the services.
func (e *Evidence) takeVerdicts(list []*jywire.ServiceVerdicts) {
	snapshot := e.config.Directory.Snapshot()
	now := time.Now()
	for _, w := range list {
		v := snapshot.Service(jynote.ServiceName(w.GetService()))
		if v != nil && e.isNews(v.Info.Name, statement{by: jypeer.RunFromWire(w.GetPooledBy()), version: w.GetVersion()}) {
			v.SetFleetVerdicts(jypeer.VerdictsFromWire(now, w.GetVerdicts()))
		}
	}
}

// isNews reports whether a statement is not older than the one that was followed last; answers may come out of order.
func (e *Evidence) isNews(s jynote.ServiceName, latest statement) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.told[s]; old.by == latest.by && latest.version <= old.version {
		return false
	}
	e.told[s] = latest
	return true
}

// tell brings changed verdicts to all instances that report to this one, and to this one, so that they need not ask.
func (e *Evidence) tell(ctx context.Context) {
	changed := e.changed.Drain(nil)
	if len(changed) == 0 {
		return
	}
	e.takeVerdicts(e.pool.verdictsFor(changed, e.config.Fleet.Self().Name))
	for _, m := range e.config.Fleet.Members() {
		message := &jywire.TellRequest{Services: e.pool.verdictsFor(changed, m.Name)}
		if len(message.Services) == 0 || m.Address == "" {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, e.config.Timeout)
			defer cancel()
			// What is lost here comes with the answer to the next report.
			_, _ = e.config.Clients.At(m.Address).Tell(ctx, connect.NewRequest(message))
		}()
	}
}

// Report answers a reporter with the verdicts on its services.
func (e *Evidence) Report(_ context.Context, r *connect.Request[jywire.ReportRequest]) (*connect.Response[jywire.ReportResponse], error) {
	return connect.NewResponse(&jywire.ReportResponse{Services: e.pool.take(r.Msg)}), nil
}

// Tell takes verdicts from the instance that pools the services.
func (e *Evidence) Tell(_ context.Context, r *connect.Request[jywire.TellRequest]) (*connect.Response[jywire.TellResponse], error) {
	e.takeVerdicts(r.Msg.GetServices())
	return connect.NewResponse(&jywire.TellResponse{}), nil
}

package jywhere

import (
	"cmp"
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// Explain computes what would become of the request.
func Explain(f Facts) Answer {
	out := Answer{Servers: f.servers()}
	if f.Refusal != "" {
		out.Decision, out.Reason = Refused, f.Refusal
		return out
	}
	out.Choices = f.choices()
	if len(out.Choices) == 0 {
		out.Decision, out.Reason = Refused, f.NoServer
		return out
	}
	out.Decision = f.decisionAt(out.Choices[0].Server)
	return out
}

// choices returns the server that gets the request for each result of the random draw, the likeliest first.
func (f Facts) choices() []Choice {
	var out []Choice
	stay := 1.0
	for _, d := range f.Distances {
		if d.Share > 0 {
			out = f.appendChoice(out, d.Share, d.DataCentre)
			stay -= d.Share
		}
	}
	if stay > 0 {
		out = f.appendChoice(out, stay, "")
	}
	slices.SortStableFunc(out, func(a, b Choice) int { return cmp.Compare(b.Chance, a.Chance) })
	return out
}

// appendChoice appends the server that is chosen if drawn is the data centre for which the request may leave; empty for none.
func (f Facts) appendChoice(list []Choice, chance float64, drawn jynote.DataCentreName) []Choice {
	noJitter := func() float64 { return 0 }
	i := jyplace.Choose(len(f.Servers), func(i int) jyplace.Candidate { return f.candidate(i, drawn) }, f.Request, noJitter)
	if i == jyplace.None {
		return list
	}
	s := f.Servers[i]
	return append(list, Choice{Chance: chance, Server: s.Name, DataCentre: s.DataCentre, Because: f.because(s, drawn)})
}

// because returns the reason why the server's data centre is chosen.
func (f Facts) because(s ServerFacts, drawn jynote.DataCentreName) string {
	switch {
	case s.Candidate.IsDueTrial:
		return "a trial of the server is due"
	case s.DataCentre == f.DataCentre && drawn != "":
		return "may leave, but the own data centre has the lowest expected loss"
	case s.DataCentre == f.DataCentre:
		return "own data centre, lowest expected loss"
	case s.DataCentre == drawn:
		return "within the share for this data centre, lowest expected loss"
	case !f.hasLocalServer():
		return "no server of the own data centre can be chosen"
	}
	return "the own servers' expected loss is higher by more than the distance"
}

func (f Facts) hasLocalServer() bool {
	return slices.ContainsFunc(f.Servers, func(s ServerFacts) bool { return s.DataCentre == f.DataCentre && !s.Candidate.IsExcluded })
}

// candidate returns the server with its distance cost.
func (f Facts) candidate(i int, drawn jynote.DataCentreName) jyplace.Candidate {
	c := f.Servers[i].Candidate
	for _, d := range f.Distances {
		if d.DataCentre != f.Servers[i].DataCentre {
			continue
		}
		c.DistanceCost = d.Cost
		if d.DataCentre == drawn {
			c.DistanceCost = d.CostInShare
		}
	}
	return c
}

// decisionAt returns whether the request waits at the server.
func (f Facts) decisionAt(name jynote.ServerName) Decision {
	for _, s := range f.Servers {
		if s.Name == name && s.Candidate.InFlight >= float64(s.Candidate.Slots) {
			return Waits
		}
	}
	return Served
}

// servers returns all servers in the order of preference outside the shares.
func (f Facts) servers() []Server {
	out := make([]Server, 0, len(f.Servers))
	for i, s := range f.Servers {
		c := f.candidate(i, "")
		v := Server{
			Server: s.Name, DataCentre: s.DataCentre, FailChance: c.FailChance, Load: c.InFlight, Slots: c.Slots,
			Distance: c.DistanceCost, IsDueTrial: c.IsDueTrial, Exclusion: s.Exclusion,
		}
		if !c.IsExcluded {
			v.ExpectedWaitMilliseconds, v.Loss = c.ExpectedWait(f.Request).Milliseconds(), c.Loss(f.Request)
		}
		out = append(out, v)
	}
	slices.SortStableFunc(out, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Loss, b.Loss))
	})
	return out
}

// rank orders due trials before other servers, and those before the ones that are left out.
func (s Server) rank() int {
	switch {
	case s.Exclusion != None && s.Exclusion != Unreached:
		return 2
	case s.IsDueTrial:
		return 0
	}
	return 1
}

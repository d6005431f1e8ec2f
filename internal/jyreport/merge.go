package jyreport

import (
	"cmp"
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Merge adds up the reports of several instances.
func Merge(reports []Report) Report {
	var out Report
	byName := map[jynote.ServiceName]*ServiceBurn{}
	for _, r := range reports {
		out.Instances = append(out.Instances, r.Instances...)
		for _, s := range r.Services {
			add(byName, s)
		}
	}
	for _, s := range byName {
		out.Services = append(out.Services, *s)
	}
	slices.SortFunc(out.Services, func(a, b ServiceBurn) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func add(byName map[jynote.ServiceName]*ServiceBurn, s ServiceBurn) {
	sum := byName[s.Service]
	if sum == nil {
		s.Series = slices.Clone(s.Series)
		byName[s.Service] = &s
		return
	}
	for i := range min(len(sum.Series), len(s.Series)) {
		sum.Series[i].Good += s.Series[i].Good
		sum.Series[i].Bad += s.Series[i].Bad
	}
}

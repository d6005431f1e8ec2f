package jyreport

import (
	"cmp"
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Merge adds up the reports of several instances, minute by minute. Services are in the order of their names, each with the
// objective of the first report that has it.
func Merge(reports []Report) Report {
	var out Report
	byName := map[jynote.ServiceName]*ServiceBurn{}
	for _, r := range reports {
		out.Instances = append(out.Instances, r.Instances...)
		for _, s := range r.Services {
			addCounts(byName, s)
		}
	}
	for _, s := range byName {
		out.Services = append(out.Services, *s)
	}
	slices.SortFunc(out.Services, func(a, b ServiceBurn) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// addCounts adds the counts of one report to the sum of its service.
func addCounts(byName map[jynote.ServiceName]*ServiceBurn, s ServiceBurn) {
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

package jybackend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// BenchmarkChooseByExpectedLoss measures a choice by the number of the service's servers.
func BenchmarkChooseByExpectedLoss(b *testing.B) {
	for _, servers := range []int{8, 16, 64, 186} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			service := newService(servers)
			b.ReportAllocs()
			for b.Loop() {
				p, err := service.Choose(time.Now(), jybackend.Requirements{Objective: time.Second})
				if err != nil {
					b.Fatal(err)
				}
				p.Server.Release()
			}
		})
	}
}

// newService returns a service whose servers are chosen by expected loss, as an instance in dc-0 has it.
func newService(servers int) *jybackend.Service {
	return newDirectory("dc-0", servers).Snapshot().Service("s")
}

// newDirectory returns the directory of an instance in the data centre. The servers are spread over three data centres in turn.
func newDirectory(centre string, servers int) *jybackend.Directory {
	return newDirectoryOf("entry-1", centre, servers)
}

// newDirectoryOf returns the directory of the named instance in the data centre.
func newDirectoryOf(instance, centre string, servers int) *jybackend.Directory {
	d := jybackend.NewDirectory(jybackend.Config{
		ConnectTimeout: time.Second, MaxIdle: time.Minute, RetryBudgetShare: 0.2,
		ByExpectedLoss: true, LeastUsedShare: 0.7,
		DataCentre: centre, Instance: instance,
		CountInstances: func() int { return 15 }, InSameRegion: func(jynote.DataCentreName) bool { return true },
	})
	state := jynote.State{Number: 1, Services: []jynote.Service{{Name: "s"}}}
	for i := range servers {
		state.BackendServers = append(state.BackendServers, jynote.BackendServer{
			Name: jynote.ServerName(fmt.Sprintf("b-%03d", i)), Service: "s", Address: "127.0.0.1:1",
			DataCentre: jynote.DataCentreName(fmt.Sprintf("dc-%d", i%3)), Slots: 4, Connections: 300,
		})
	}
	d.Apply(state)
	return d
}

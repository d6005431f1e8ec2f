package jyexperiment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/internal/jyexperiment"
)

// leastFactor is how many times fewer requests expected loss must fail than the least busy server does.
const leastFactor = 8

func TestExpectedLossLiesBetweenTheLeastBusyServerAndTheTruth(t *testing.T) {
	for _, load := range jyexperiment.PlacementLoads(20 * time.Second) {
		t.Run(load.Name, func(t *testing.T) { checkExpectedLoss(t, load) })
	}
}

func TestExpectedLossLiesBetweenTheLeastBusyServerAndTheTruthAtALargeService(t *testing.T) {
	checkExpectedLoss(t, jyexperiment.ManyServersLoad(20*time.Second))
}

func checkExpectedLoss(t *testing.T, load jyexperiment.PlacementLoad) {
	unserved := func(p jyexperiment.PlacementPolicy) float64 {
		sum := 0.0
		for seed := range uint64(6) {
			c := load.PlacementCase
			c.Policy = p
			sum += jyexperiment.SimulatePlacement(c, seed+1).Unserved()
		}
		return sum
	}
	byLoss := unserved(jyexperiment.PlacementByExpectedLoss)
	assert.Less(t, leastFactor*byLoss, unserved(jyexperiment.PlacementByLoad))
	assert.Greater(t, byLoss, unserved(jyexperiment.PlacementByTrueState))
}

// floorShare is the share of a service's servers that the users want to be in use within any two seconds.
const floorShare = 0.7

// floorCase is a service with a fault of most or some of its servers from a third of the time on.
func floorCase(servers, healthy int, rate, failure float64) jyexperiment.PlacementCase {
	const playTime = 18 * time.Second
	return jyexperiment.PlacementCase{
		Policy: jyexperiment.PlacementByExpectedLoss, Servers: servers, Slots: 4, QueueLength: 12, Rate: rate, MeanServiceTime: 200 * time.Millisecond,
		Objective: time.Second, RunDuration: playTime, ReportDelay: 8 * time.Millisecond,
		Fault: jyexperiment.PlacementFault{From: playTime / 3, Until: 2 * playTime / 3, Servers: servers - healthy, FailureRate: failure},
	}
}

func TestTheFloorHoldsAmongTheHealthyServersWhateverTheOthersDo(t *testing.T) {
	tests := map[string]jyexperiment.PlacementCase{
		"5 servers, all healthy":                   floorCase(5, 5, 30, 0),
		"16 servers, all healthy":                  floorCase(16, 16, 60, 0),
		"16 servers, half of them in fault":        floorCase(16, 8, 60, 0.4),
		"186 servers, 34 of them healthy":          floorCase(186, 34, 500, 0.4),
		"186 servers, 9 of them healthy":           floorCase(186, 9, 500, 0.4),
		"186 servers, half in a fault hard to see": floorCase(186, 93, 500, 0.02),
		"391 servers, half of them in fault":       floorCase(391, 195, 900, 0.4),
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				assert.GreaterOrEqual(t, jyexperiment.SimulatePlacement(c, seed+1).MinHealthyUsedShare, floorShare, "seed %d", seed+1)
			}
		})
	}
}

func TestAServiceIsNeverServedByFewerServersThanItsFloor(t *testing.T) {
	const playTime = 30 * time.Second
	for _, load := range append(jyexperiment.PlacementLoads(playTime), jyexperiment.ManyServersLoad(playTime)) {
		t.Run(load.Name, func(t *testing.T) {
			for seed := range uint64(6) {
				c := load.PlacementCase
				c.Policy = jyexperiment.PlacementByExpectedLoss
				assert.GreaterOrEqual(t, jyexperiment.SimulatePlacement(c, seed+1).MinUsedShare, floorShare, "seed %d", seed+1)
			}
		})
	}
}

package jyexperiment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/internal/jyexperiment"
)

// minImprovement is the factor by which PlacementByLoad must leave more requests unserved than PlacementByExpectedLoss.
const minImprovement = 8

func TestExpectedLossServesMoreThanLeastBusyAndLessThanTrueState(t *testing.T) {
	for _, load := range jyexperiment.PlacementLoads(20 * time.Second) {
		t.Run(load.Name, func(t *testing.T) { checkExpectedLoss(t, load) })
	}
}

func TestExpectedLossServesMoreThanLeastBusyAndLessThanTrueStateWithManyServers(t *testing.T) {
	checkExpectedLoss(t, jyexperiment.ManyServersLoad(20*time.Second))
}

// checkExpectedLoss compares the unserved shares of the three policies, summed over six seeds.
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
	assert.Less(t, minImprovement*byLoss, unserved(jyexperiment.PlacementByLoad))
	assert.Greater(t, byLoss, unserved(jyexperiment.PlacementByTrueState))
}

// floorShare is the share of a service's servers, or of its healthy servers, that must get a request within any two seconds.
const floorShare = 0.7

// floorCase returns a service in which all servers but the given number of healthy ones have a fault in the second third of the
// run, and then fail the given share of requests.
func floorCase(servers, healthy int, rate, failureRate float64) jyexperiment.PlacementCase {
	const runDuration = 18 * time.Second
	return jyexperiment.PlacementCase{
		Policy:  jyexperiment.PlacementByExpectedLoss,
		Servers: servers, Slots: 4, QueueLength: 12, Rate: rate,
		MeanServiceTime: 200 * time.Millisecond,
		Objective:       time.Second, RunDuration: runDuration, ReportDelay: 8 * time.Millisecond,
		Fault: jyexperiment.PlacementFault{
			From: runDuration / 3, Until: 2 * runDuration / 3,
			Servers: servers - healthy, FailureRate: failureRate,
		},
	}
}

// Guards against a placement that leaves healthy servers without requests while others are faulty.
func TestFloorHoldsAmongHealthyServersWhileOthersAreFaulty(t *testing.T) {
	tests := map[string]jyexperiment.PlacementCase{
		"5 servers, all healthy":               floorCase(5, 5, 30, 0),
		"16 servers, all healthy":              floorCase(16, 16, 60, 0),
		"16 servers, half of them faulty":      floorCase(16, 8, 60, 0.4),
		"186 servers, 34 of them healthy":      floorCase(186, 34, 500, 0.4),
		"186 servers, 9 of them healthy":       floorCase(186, 9, 500, 0.4),
		"186 servers, half of them failing 2%": floorCase(186, 93, 500, 0.02),
		"391 servers, half of them faulty":     floorCase(391, 195, 900, 0.4),
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				assert.GreaterOrEqual(t, jyexperiment.SimulatePlacement(c, seed+1).MinHealthyUsedShare, floorShare, "seed %d", seed+1)
			}
		})
	}
}

// Guards against a placement that avoids gray servers and then uses fewer servers than the floor.
func TestUsedServersNeverFallBelowTheFloor(t *testing.T) {
	const runDuration = 30 * time.Second
	for _, load := range append(jyexperiment.PlacementLoads(runDuration), jyexperiment.ManyServersLoad(runDuration)) {
		t.Run(load.Name, func(t *testing.T) {
			for seed := range uint64(6) {
				c := load.PlacementCase
				c.Policy = jyexperiment.PlacementByExpectedLoss
				assert.GreaterOrEqual(t, jyexperiment.SimulatePlacement(c, seed+1).MinUsedShare, floorShare, "seed %d", seed+1)
			}
		})
	}
}

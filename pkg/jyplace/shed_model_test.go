package jyplace_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

func TestShedModelFindsTheLoadAtWhichServersShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		full := slots + rapid.IntRange(1, 12).Draw(t, "queue")
		var model jyplace.ShedModel
		for range 400 {
			load := rapid.IntRange(0, full+3).Draw(t, "load")
			if load >= full {
				model.RecordShed(load, slots)
			} else {
				model.RecordAccepted(load, slots)
			}
		}
		assert.Less(t, model.ShedChance(float64(full-2), slots), 0.35)
		assert.Greater(t, model.ShedChance(float64(full+2), slots), 0.65)
	})
}

func TestAShedByAServerWithFreeSlotsIsIgnored(t *testing.T) {
	var model jyplace.ShedModel
	for range 100 {
		model.RecordShed(1, 2)
	}
	assert.Less(t, model.ShedChance(2, 2), 0.01)
}

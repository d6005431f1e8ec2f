package jybackend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
)

func TestADrainingNoticeExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := newService(1).Servers[0]
	assert.False(t, s.IsDraining(now))
	assert.True(t, s.MarkDraining(now))
	assert.False(t, s.MarkDraining(now.Add(time.Second)), "it counted as draining before")
	assert.True(t, s.IsDraining(now.Add(jydetector.DefaultDrainingTimeout)))
	assert.False(t, s.IsDraining(now.Add(jydetector.DefaultDrainingTimeout+2*time.Second)))
}

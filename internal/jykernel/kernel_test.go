package jykernel_test

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
)

// blockingService runs until its context ends, and records that it was stopped.
type blockingService struct{ stopped bool }

func (s *blockingService) Run(ctx context.Context) error {
	<-ctx.Done()
	s.stopped = true
	return nil
}

// failingService returns an error at once.
type failingService struct{}

func (failingService) Run(context.Context) error { return errors.New("no address") }

func TestOneFailureStopsAllServices(t *testing.T) {
	k, other := jykernel.New(), &blockingService{}
	require.NoError(t, k.Register("other", other))
	require.NoError(t, k.Register("failing", failingService{}))
	assert.ErrorContains(t, k.Run(t.Context()), "failing: no address")
	assert.True(t, other.stopped)
}

func TestServicesAreFoundByNameAndType(t *testing.T) {
	k, service := jykernel.New(), &blockingService{}
	require.NoError(t, k.Register("service", service))
	found, err := jykernel.Find[*blockingService](k, "service")
	require.NoError(t, err)
	assert.Same(t, service, found)
	_, err = jykernel.Find[failingService](k, "service")
	assert.ErrorContains(t, err, string(jykernel.WrongType))
	_, err = jykernel.Find[*blockingService](k, "none")
	assert.ErrorContains(t, err, string(jykernel.Missing))
	assert.ErrorContains(t, k.Register("service", service), string(jykernel.Duplicate))
}

package jykernel_test

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
)

// until runs until its context ends.
type until struct{ ended bool }

func (u *until) Run(ctx context.Context) error {
	<-ctx.Done()
	u.ended = true
	return nil
}

type failing struct{}

func (failing) Run(context.Context) error { return errors.New("no address") }

func TestOneFailureStopsAllServices(t *testing.T) {
	k, other := jykernel.New(), &until{}
	require.NoError(t, k.Register("other", other))
	require.NoError(t, k.Register("failing", failing{}))
	assert.ErrorContains(t, k.Run(t.Context()), "failing: no address")
	assert.True(t, other.ended)
}

func TestFind(t *testing.T) {
	k, service := jykernel.New(), &until{}
	require.NoError(t, k.Register("service", service))
	found, err := jykernel.Find[*until](k, "service")
	require.NoError(t, err)
	assert.Same(t, service, found)
	_, err = jykernel.Find[failing](k, "service")
	assert.ErrorContains(t, err, string(jykernel.WrongType))
	_, err = jykernel.Find[*until](k, "none")
	assert.ErrorContains(t, err, string(jykernel.Missing))
	assert.ErrorContains(t, k.Register("service", service), string(jykernel.Duplicate))
}

package jyconnection_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/pkg/jyconnection"
)

// event is something that happens to a connection.
type event string

const (
	read   event = "read"
	passOn event = "pass on"
	answer event = "answer"
	end    event = "end"
)

// maxEvents is the length of the orders of events that are checked, all of them.
const maxEvents = 8

// reference keeps the whole history of a connection, and derives the decisions from it.
type reference struct {
	accepted []event // reads, passed-on requests and answers that took place
	closed   bool
	ending   bool
}

// owesAnswer reports whether something was read or passed on since the last answer.
func (r *reference) owesAnswer() bool {
	return len(r.accepted) > 0 && r.accepted[len(r.accepted)-1] != answer
}

// apply returns what the event decides: for a read and a passed-on request whether it takes place, else whether to close.
func (r *reference) apply(e event) bool {
	switch e {
	case end:
		r.ending = true
	case answer:
		if !r.closed {
			r.accepted = append(r.accepted, e)
		}
	default:
		if !r.closed {
			r.accepted = append(r.accepted, e)
		}
		return !r.closed
	}
	closes := r.ending && !r.closed && !r.owesAnswer()
	r.closed = r.closed || closes
	return closes
}

func apply(c *jyconnection.Connection, e event) bool {
	switch e {
	case read:
		return c.Read()
	case passOn:
		return c.PassOn()
	case answer:
		return c.Answer()
	}
	return c.End()
}

// Guards against a connection that is closed, or said to be closable, while a request that was passed on has no answer.
func TestNoOrderOfEventsClosesAConnectionThatOwesAnAnswer(t *testing.T) {
	var visit func(order []event)
	visit = func(order []event) {
		var c jyconnection.Connection
		var model reference
		for i, e := range order {
			owed := model.owesAnswer() && e == end
			got := apply(&c, e)
			require.Equal(t, model.apply(e), got, "event %d of %v", i, order)
			require.False(t, owed && got, "closed without the answer at event %d of %v", i, order)
			require.Equal(t, model.owesAnswer() && !model.closed, c.IsUnanswered(), "event %d of %v", i, order)
		}
		if len(order) == maxEvents {
			return
		}
		for _, e := range []event{read, passOn, answer, end} {
			visit(append(slices.Clone(order), e))
		}
	}
	visit(nil)
}

package jynote_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

func service(name string) jynote.Service {
	return jynote.Service{
		Name: jynote.ServiceName(name), DeadlineMilliseconds: 1000, ServerDaysPerFalseEjection: 100,
		Objective: jynote.Objective{SuccessShare: 0.99, LatencyMilliseconds: 100},
	}
}

// note returns a note that adds one service, named after its number and variant.
func note(n jynote.Number, base bool, variant string) []byte {
	v := jynote.Note{Number: n, Base: base}
	v.Added.Services = []jynote.Service{service(fmt.Sprintf("service-%d%s", n, variant))}
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

func TestOfferReturnsAVerdictOnEachNote(t *testing.T) {
	type offer struct {
		number jynote.Number
		raw    []byte
		want   jynote.Verdict
	}
	tests := map[string]struct {
		offers []offer
		number jynote.Number
	}{
		"notes apply in order": {[]offer{{1, note(1, false, ""), jynote.Applied}, {2, note(2, false, ""), jynote.Applied}}, 2},
		"a note waits for a lower number": {[]offer{
			{1, note(1, false, ""), jynote.Applied}, {3, note(3, false, ""), jynote.Waiting}, {2, note(2, false, ""), jynote.Applied},
		}, 3},
		"a base note skips a gap":       {[]offer{{5, note(5, true, ""), jynote.Applied}}, 5},
		"an older note changes nothing": {[]offer{{5, note(5, true, ""), jynote.Applied}, {4, note(4, false, ""), jynote.Stale}}, 5},
		"the same note again is known":  {[]offer{{1, note(1, false, ""), jynote.Applied}, {1, note(1, false, ""), jynote.Known}}, 1},
		"other content under a used number is a conflict": {[]offer{
			{1, note(1, false, ""), jynote.Applied}, {1, note(1, false, "b"), jynote.Conflict}, {2, note(2, false, ""), jynote.Applied},
		}, 2},
		"other content under a waiting number is a conflict": {[]offer{
			{2, note(2, false, ""), jynote.Waiting}, {2, note(2, false, "b"), jynote.Conflict}, {1, note(1, false, ""), jynote.Applied},
		}, 2},
		"a malformed note is skipped": {[]offer{{1, []byte("{"), jynote.Refused}, {2, note(2, false, ""), jynote.Applied}}, 2},
		"a note under another number is skipped": {[]offer{
			{1, note(9, false, ""), jynote.Refused}, {2, note(2, false, ""), jynote.Applied},
		}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := jynote.NewSequence()
			for i, o := range tt.offers {
				got, _ := s.Offer(o.number, o.raw)
				assert.Equal(t, o.want, got, "offer %d", i)
			}
			assert.Equal(t, tt.number, s.State().Number)
		})
	}
}

// expectedState computes the state from scratch: it applies the consecutive notes from note 1 and from each base note on, and
// returns the state with the highest number.
func expectedState(offered map[jynote.Number][]byte) jynote.State {
	var best jynote.State
	for first := range offered {
		if first != 1 && !isBase(offered[first]) {
			continue
		}
		var s jynote.State
		for n := first; offered[n] != nil; n++ {
			v, err := jynote.Parse(offered[n])
			if err != nil {
				panic(err)
			}
			s, _ = jynote.Apply(s, v, offered[n])
		}
		if s.Number > best.Number {
			best = s
		}
	}
	return best
}

func isBase(raw []byte) bool {
	v, err := jynote.Parse(raw)
	return err == nil && v.Base
}

func TestAnyOrderOfNotesLeadsToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := map[jynote.Number]bool{1: rapid.Bool().Draw(t, "base 1"), 4: rapid.Bool().Draw(t, "base 4")}
		s := jynote.NewSequence()
		offered := map[jynote.Number][]byte{}
		last := jynote.Number(0)
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			n := jynote.Number(rapid.IntRange(1, 7).Draw(t, "number"))
			raw := note(n, base[n], "")
			_, err := s.Offer(n, raw)
			require.NoError(t, err)
			offered[n] = raw
			require.GreaterOrEqual(t, s.State().Number, last, "the current number decreased")
			last = s.State().Number
			want := expectedState(offered)
			if want.Number == last {
				require.Equal(t, want.Digest, s.State().Digest)
			}
			require.LessOrEqual(t, want.Number, last, "a note that can be applied is not")
		}
	})
}

func TestLaterNotesApplyToAnAdoptedState(t *testing.T) {
	leader, follower := jynote.NewSequence(), jynote.NewSequence()
	for n := range jynote.Number(3) {
		_, err := leader.Offer(n+1, note(n+1, false, ""))
		require.NoError(t, err)
	}
	_, err := follower.Offer(4, note(4, false, ""))
	require.NoError(t, err)

	raw, err := leader.State().Encode()
	require.NoError(t, err)
	state, err := jynote.DecodeState(raw)
	require.NoError(t, err)
	require.True(t, follower.Adopt(state))
	require.False(t, follower.Adopt(state), "the same state was adopted twice")

	_, err = leader.Offer(4, note(4, false, ""))
	require.NoError(t, err)
	assert.Equal(t, leader.State(), follower.State())
}

func TestApplyReportsAllFaultsAtOnce(t *testing.T) {
	n := jynote.Note{Number: 1}
	n.Added.Services = []jynote.Service{{Name: "bad name", Floor: -1}}
	n.Added.BackendServers = []jynote.BackendServer{{Name: "s", Service: "missing", Address: "host:1", DataCentre: "d", Slots: 1, Connections: 1}}
	n.Withdrawn.Routes = []jynote.RouteName{"unknown"}
	before := jynote.State{Number: 0}
	after, faults := jynote.Apply(before, n, nil)
	assert.Equal(t, before, after)
	locations := make([]string, 0, len(faults))
	for _, f := range faults {
		locations = append(locations, f.Location)
	}
	for _, want := range []string{
		"Added.Services[0].Name", "Added.Services[0].Floor", "Added.Services[0].DeadlineMilliseconds",
		"Added.BackendServers[0].Address", "Withdrawn.Routes unknown", "BackendServers s",
	} {
		assert.Contains(t, locations, want)
	}
}

func FuzzOffer(f *testing.F) {
	f.Add(note(1, true, ""))
	f.Add([]byte(`{"Number":1,"Changed":{"Services":[{}]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := jynote.NewSequence()
		_, _ = s.Offer(1, raw)
		require.LessOrEqual(t, s.State().Number, jynote.Number(1))
	})
}

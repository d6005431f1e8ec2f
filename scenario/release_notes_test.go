package scenario_test

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

func TestANoteIsAppliedEverywhere(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.platform.Publish(2, f.note(2, nil))
	f.waitFor("all instances apply note 2", func() bool { return f.allReadyWithNote(2) })
}

func TestAnInstanceThatRestartsDuringAnOutageGetsTheNoteFromItsPeers(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.platform.Publish(2, f.note(2, nil))
	f.waitFor("all instances apply note 2", func() bool { return f.allReadyWithNote(2) })
	f.platform.SetOutage(true)
	f.signalAndWait(f.entries[1], syscall.SIGKILL)
	f.start(f.entries[1])
	f.waitFor("the restarted instance applies note 2", func() bool { return f.allReadyWithNote(2) })
}

func TestStaleReadsNeverRollAnInstanceBack(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.platform.Publish(2, f.note(2, nil))
	f.waitFor("all instances apply note 2", func() bool { return f.allReadyWithNote(2) })
	f.platform.SetStaleReads(1)
	f.signalAndWait(f.entries[1], syscall.SIGKILL)
	f.start(f.entries[1])
	// Once it is ready, it must never report an older note.
	f.waitFor("the restarted instance is ready", func() bool {
		s, ok := f.status(f.entries[1])
		if ok && s.Ready {
			assert.Equal(t, jynote.Number(2), s.Release.Number)
		}
		return ok && s.Ready
	})
}

func TestARefusedNoteKeepsTheCurrentOneAndIsReportedEverywhere(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.platform.Publish(2, []byte(`{"Number":2,"Withdrawn":{"Services":["no-such-service"]}}`))
	f.waitFor("all instances report the refusal", func() bool {
		for _, e := range f.entries {
			if s, ok := f.status(e); !ok || len(s.Release.Refused) != 1 || s.Release.Refused[0].Number != 2 {
				return false
			}
		}
		return true
	})
	assert.Equal(t, 200, f.send(f.entries[0], "GET", "/", "token", "", "").status, "the current note still serves")
	f.platform.Publish(3, f.note(3, nil))
	f.waitFor("all instances apply note 3", func() bool { return f.allReadyWithNote(3) })
}

func TestANoteWaitsForTheMissingNoteBeforeIt(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.platform.Publish(3, []byte(`{"Number":3,"Title":"third"}`))
	f.platform.Publish(2, []byte(`{"Number":2,"Title":"second"}`))
	f.waitFor("all instances apply note 3", func() bool { return f.allReadyWithNote(3) })
}

func TestInstancesAgreeAfterANoteIsReplaced(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.platform.Publish(2, []byte(`{"Number":2,"Title":"second"}`))
	f.waitFor("all instances apply note 2", func() bool { return f.allReadyWithNote(2) })
	before, _ := f.status(f.entries[0])
	f.platform.Publish(2, []byte(`{"Number":2,"Title":"replaced"}`))
	f.platform.Publish(3, []byte(`{"Number":3,"Title":"third"}`))
	f.waitFor("all instances apply note 3", func() bool { return f.allReadyWithNote(3) })
	digests := map[string]bool{}
	for _, e := range f.entries {
		s, _ := f.status(e)
		digests[s.Release.Digest] = true
	}
	assert.Len(t, digests, 1, "all instances apply the same notes")
	assert.NotEmpty(t, before.Release.Digest)
}

func TestAWithdrawnServerGetsNoNewRequests(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.platform.Publish(2, []byte(`{"Number":2,"Withdrawn":{"BackendServers":["ledger-1"]}}`))
	f.waitFor("all instances apply note 2", func() bool { return f.allReadyWithNote(2) })
	before := f.servers[0].Counts().Requests
	for range 60 {
		for _, e := range f.entries {
			f.send(e, "GET", "/", "token", "", "")
		}
	}
	assert.Equal(t, before, f.servers[0].Counts().Requests)
}

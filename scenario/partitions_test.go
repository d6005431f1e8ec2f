package scenario_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// isConsideredDead reports whether any instance considers e dead.
func (f *fleet) isConsideredDead(e *entry) bool {
	for _, o := range f.entries {
		s, _ := f.status(o)
		for _, m := range s.Members {
			if m.Name == e.name && m.Status == "Dead" {
				return true
			}
		}
	}
	return false
}

func TestAnInstanceThatPeersCannotReachStaysAliveAndAppliesNotes(t *testing.T) {
	f := newFleet(t, 5, 2)
	unreachable := f.entries[2]
	unreachable.peerProxy.blocked.Store(true)
	f.platform.Publish(2, f.note(2, nil))
	f.waitFor("all instances apply note 2, the unreachable one included", func() bool { return f.allReadyWithNote(2) })
	assert.False(t, f.isConsideredDead(unreachable))
	assert.Equal(t, jyoutcome.Complete, f.send(unreachable, http.MethodGet, "/status", "token", "", "").outcome)
}

func TestAnUnreachableOwnerNeverCausesASecondRun(t *testing.T) {
	f := newFleet(t, 3, 2)
	owner := f.entries[0]
	id := f.issueRequestID(owner)
	owner.peerProxy.blocked.Store(true)
	assert.Equal(t, jyoutcome.Unknown, f.send(f.entries[1], http.MethodPost, "/charge", "token", id, "body").outcome)
	direct := f.send(owner, http.MethodPost, "/charge", "token", id, "body")
	assert.Equal(t, jyoutcome.Complete, direct.outcome, "the owner still runs requests that reach it directly")
	owner.peerProxy.blocked.Store(false)
	// The delayed copy arrives now, and must not run.
	f.waitFor("the owner can be reached", func() bool {
		return f.send(f.entries[1], http.MethodPost, "/charge", "token", id, "body").outcome == jyoutcome.Complete
	})
	assert.Equal(t, 1, f.effectCount("token"))
}

func TestAnUnreachableInstanceCausesNoEjection(t *testing.T) {
	f := newFleet(t, 4, 4)
	f.entries[3].peerProxy.blocked.Store(true)
	for _, r := range f.sendReads(960) {
		require.Equal(t, jyoutcome.Complete, r.outcome)
	}
	f.requireNoneEjected()
}

func TestATruncatedAnswerIsNeverReportedAsComplete(t *testing.T) {
	f := newFleet(t, 1, 2)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{CutShare: 1})
	}
	for _, path := range []string{"/status", "/status?Padding=30000", "/status?Padding=3000000"} {
		r := f.send(f.entries[0], http.MethodGet, path, "token", "", "")
		assert.True(t, r.incomplete || r.outcome == jyoutcome.Unknown, path)
		charge := f.send(f.entries[0], http.MethodPost, path, "token", f.issueRequestID(f.entries[0]), "body")
		assert.Equal(t, jyoutcome.Unknown, charge.outcome, path)
	}
}

package scenario_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// holdsDead reports whether any other instance holds e dead.
func (f *fleet) holdsDead(e *entry) bool {
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

func TestAnInstanceThatOthersCannotReachStaysAliveAndHearsOfNotes(t *testing.T) {
	f := newFleet(t, 5, 2)
	deaf := f.entries[2]
	deaf.cut.on.Store(true)
	f.platform.Publish(2, f.note(2, nil))
	f.waitFor("note 2 is in force at all, the unreachable one included", func() bool { return f.inForce(2) })
	assert.False(t, f.holdsDead(deaf))
	assert.Equal(t, jyoutcome.Complete, f.send(deaf, http.MethodGet, "/status", "token", "", "").outcome)
}

func TestAnOwnerThatCannotBeReachedNeverLeadsToASecondRun(t *testing.T) {
	f := newFleet(t, 3, 2)
	owner := f.entries[0]
	id := f.issue(owner)
	owner.cut.on.Store(true)
	assert.Equal(t, jyoutcome.Unknown, f.send(f.entries[1], http.MethodPost, "/charge", "token", id, "body").outcome)
	direct := f.send(owner, http.MethodPost, "/charge", "token", id, "body")
	assert.Equal(t, jyoutcome.Complete, direct.outcome, "the owner itself still decides")
	owner.cut.on.Store(false)
	// The copy that was held back arrives now, and must not run.
	f.waitFor("the owner can be reached", func() bool {
		return f.send(f.entries[1], http.MethodPost, "/charge", "token", id, "body").outcome == jyoutcome.Complete
	})
	assert.Equal(t, 1, f.effects("token"))
}

func TestOneUnreachableInstanceMakesNobodyEjectAServer(t *testing.T) {
	f := newFleet(t, 4, 4)
	f.entries[3].cut.on.Store(true)
	for _, r := range f.drive(960) {
		require.Equal(t, jyoutcome.Complete, r.outcome)
	}
	f.requireNobodyEjected()
}

func TestAnAnswerThatIsCutIsNeverPassedOffAsComplete(t *testing.T) {
	f := newFleet(t, 1, 2)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{CutShare: 1})
	}
	for _, path := range []string{"/status", "/status?Padding=30000", "/status?Padding=3000000"} {
		r := f.send(f.entries[0], http.MethodGet, path, "token", "", "")
		assert.True(t, r.broken || r.outcome == jyoutcome.Unknown, path)
		charge := f.send(f.entries[0], http.MethodPost, path, "token", f.issue(f.entries[0]), "body")
		assert.Equal(t, jyoutcome.Unknown, charge.outcome, path)
	}
}

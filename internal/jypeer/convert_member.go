package jypeer

import (
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// NoteRef identifies the release note that an instance has applied last; its Number is 0 if there is none.
type NoteRef struct {
	Number jynote.Number
	Digest jynote.Digest
}

// MemberToWire converts a member to its wire form.
func MemberToWire(m jymember.Member) *jywire.Member {
	return &jywire.Member{
		Name: string(m.Name), Boot: uint64(m.Boot), Incarnation: m.Incarnation, Status: jywire.Status(m.Status),
		Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
	}
}

// MemberFromWire converts a member from its wire form. An unknown status becomes Alive.
func MemberFromWire(m *jywire.Member) jymember.Member {
	status := jymember.Status(m.GetStatus())
	if status < jymember.Alive || status > jymember.Left {
		status = jymember.Alive
	}
	return jymember.Member{
		Name: jymember.Name(m.GetName()), Boot: jymember.Boot(m.GetBoot()), Incarnation: m.GetIncarnation(), Status: status,
		Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Region: m.GetRegion(),
	}
}

// RunToWire converts a process run to its wire form.
func RunToWire(r jymember.Run) *jywire.Run {
	return &jywire.Run{Name: string(r.Name), Boot: uint64(r.Boot)}
}

// RunFromWire converts a process run from its wire form.
func RunFromWire(r *jywire.Run) jymember.Run {
	return jymember.Run{Name: jymember.Name(r.GetName()), Boot: jymember.Boot(r.GetBoot())}
}

// UpdatesToWire converts membership updates to their wire form.
func UpdatesToWire(list []jymember.Update) []*jywire.Update {
	out := make([]*jywire.Update, 0, len(list))
	for _, u := range list {
		if u.Member != nil {
			out = append(out, &jywire.Update{News: &jywire.Update_Member{Member: MemberToWire(*u.Member)}})
		}
		if u.Succession != nil {
			out = append(out, &jywire.Update{News: &jywire.Update_Succession{Succession: &jywire.Succession{
				From: RunToWire(u.Succession.From), To: RunToWire(u.Succession.To),
			}}})
		}
	}
	return out
}

// UpdatesFromWire converts membership updates from their wire form.
func UpdatesFromWire(list []*jywire.Update) []jymember.Update {
	out := make([]jymember.Update, 0, len(list))
	for _, u := range list {
		if m := u.GetMember(); m != nil {
			v := MemberFromWire(m)
			out = append(out, jymember.Update{Member: &v})
		}
		if s := u.GetSuccession(); s != nil {
			out = append(out, jymember.Update{Succession: &jymember.Succession{
				From: RunFromWire(s.GetFrom()), To: RunFromWire(s.GetTo()),
			}})
		}
	}
	return out
}

// NoteRefToWire converts a note reference to its wire form.
func NoteRefToWire(r NoteRef) *jywire.NoteMark {
	return &jywire.NoteMark{Number: uint64(r.Number), Digest: r.Digest[:]}
}

// NoteRefFromWire converts a note reference from its wire form.
func NoteRefFromWire(w *jywire.NoteMark) NoteRef {
	out := NoteRef{Number: jynote.Number(w.GetNumber())}
	copy(out.Digest[:], w.GetDigest())
	return out
}

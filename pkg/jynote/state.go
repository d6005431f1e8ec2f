package jynote

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// State is the result of the release notes up to Number. Its lists are sorted by name and must not be modified.
type State struct {
	Number Number
	// Digest identifies the sequence of notes from the last base note on.
	Digest Digest
	// Revision counts the changes of BackendServers under one number if the servers register themselves.
	Revision       uint64 `json:",omitempty"`
	Services       []Service
	BackendServers []BackendServer
	Routes         []Route
	// Accounts lists the client accounts. If there is one, each request needs a key unless its route is public.
	Accounts []Account `json:",omitempty"`
	// Refused lists the latest notes that were refused for their content, oldest first.
	Refused []Refusal `json:",omitempty"`
}

// Encode returns the state as JSON, for peers.
func (s State) Encode() ([]byte, error) { return json.Marshal(s) }

// IsNewerThan reports whether s may replace other: the current number never decreases, nor the revision under one number.
func (s State) IsNewerThan(other State) bool {
	if s.Number != other.Number {
		return s.Number > other.Number
	}
	return s.Revision > other.Revision
}

// DecodeState reads what Encode wrote. Its errors are of kind Malformed.
func DecodeState(raw []byte) (State, error) {
	var s State
	if err := json.Unmarshal(raw, &s); err != nil {
		return State{}, jyfault.New("decode state", Malformed, "%w", err)
	}
	return s, nil
}

// Service returns the service of that name, or false if there is none.
func (s State) Service(name ServiceName) (Service, bool) {
	i, ok := slices.BinarySearchFunc(s.Services, name, func(v Service, n ServiceName) int {
		return strings.Compare(string(v.Name), string(n))
	})
	if !ok {
		return Service{}, false
	}
	return s.Services[i], true
}

// Apply returns the state after the note, or all faults of the note, in which case the state has no meaning. raw is the published
// JSON of the note. The result depends on s and raw alone, so all instances reach the same state.
func Apply(s State, n Note, raw []byte) (State, Faults) {
	fs := Validate(n)
	previousDigest := s.Digest
	refused := s.Refused
	if n.Base {
		s = State{}
		previousDigest = Digest{}
	}
	services := section[ServiceName, Service]{title: "Services", nameOf: func(v Service) ServiceName { return v.Name }}
	servers := section[ServerName, BackendServer]{
		title: "BackendServers", nameOf: func(v BackendServer) ServerName { return v.Name },
	}
	routes := section[RouteName, Route]{title: "Routes", nameOf: func(v Route) RouteName { return v.Name }}
	accounts := section[AccountName, Account]{title: "Accounts", nameOf: func(v Account) AccountName { return v.Name }}
	next := State{
		Number:         n.Number,
		Services:       services.apply(s.Services, n.Added.Services, n.Changed.Services, n.Withdrawn.Services, &fs),
		BackendServers: servers.apply(s.BackendServers, n.Added.BackendServers, n.Changed.BackendServers, n.Withdrawn.BackendServers, &fs),
		Routes:         routes.apply(s.Routes, n.Added.Routes, n.Changed.Routes, n.Withdrawn.Routes, &fs),
		Accounts:       accounts.apply(s.Accounts, n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts, &fs),
		Refused:        refused,
	}
	next.checkReferences(&fs)
	if len(fs) > 0 {
		return s, fs
	}
	noteDigest := DigestOf(raw)
	next.Digest = sha256.Sum256(append(previousDigest[:], noteDigest[:]...))
	return next, nil
}

// checkReferences adds the faults between entries: references to missing services, floors above a service's slots, and keys of
// several accounts.
func (s State) checkReferences(fs *Faults) {
	slots := map[ServiceName]int{}
	for _, b := range s.BackendServers {
		if _, ok := s.Service(b.Service); !ok {
			fs.add("BackendServers "+string(b.Name), "a service in force", "service %q does not exist", b.Service)
		}
		slots[b.Service] += b.Slots
	}
	for _, r := range s.Routes {
		for _, name := range r.Services() {
			if _, ok := s.Service(name); !ok {
				fs.add("Routes "+string(r.Name), "a service in force", "service %q does not exist", name)
			}
		}
	}
	for _, v := range s.Services {
		if totalSlots := slots[v.Name]; totalSlots > 0 && totalSlots < v.Floor {
			fs.add("Services "+string(v.Name), fmt.Sprintf("a floor of at most %d", totalSlots),
				"floor %d is above the slots of all its backend servers", v.Floor)
		}
	}
	checkKeys(s.Accounts, fs)
}

// section applies a note to the entries of one kind; title is the name of their field in a note.
type section[K ~string, V any] struct {
	title  string
	nameOf func(V) K
}

// apply returns the old entries with the withdrawn ones removed, the changed ones replaced and the added ones included, sorted by
// name. It adds a fault for each name that occurs twice in the note, is added but exists, or is changed or withdrawn but missing.
func (s section[K, V]) apply(old, added, changed []V, withdrawn []K, fs *Faults) []V {
	entries := make(map[K]V, len(old)+len(added))
	for _, v := range old {
		entries[s.nameOf(v)] = v
	}
	seen := map[K]bool{}
	check := func(part string, k K, mustExist bool, allowed string) {
		_, exists := entries[k]
		if exists != mustExist || seen[k] {
			fs.add(fmt.Sprintf("%s.%s %s", part, s.title, k), allowed, "named twice, or not in the expected state")
		}
		seen[k] = true
	}
	for _, k := range withdrawn {
		check("Withdrawn", k, true, "a name in force, once in a note")
		delete(entries, k)
	}
	for _, v := range changed {
		check("Changed", s.nameOf(v), true, "a name in force, once in a note")
		entries[s.nameOf(v)] = v
	}
	for _, v := range added {
		check("Added", s.nameOf(v), false, "a name not in force, once in a note")
		entries[s.nameOf(v)] = v
	}
	return s.sorted(entries)
}

func (s section[K, V]) sorted(entries map[K]V) []V {
	list := make([]V, 0, len(entries))
	for _, v := range entries {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b V) int { return strings.Compare(string(s.nameOf(a)), string(s.nameOf(b))) })
	return list
}

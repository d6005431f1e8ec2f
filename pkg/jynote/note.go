package jynote

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"io"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// MaxNoteBytes bounds the JSON of a release note. It is the size of the largest value that the configuration service stores.
const MaxNoteBytes = 1 << 20

// Entries lists what a release note adds or changes.
type Entries struct {
	Services       []Service       `json:",omitempty"`
	BackendServers []BackendServer `json:",omitempty"`
	Routes         []Route         `json:",omitempty"`
	Accounts       []Account       `json:",omitempty"`
}

// Names lists the names of the entries that a release note withdraws. The name of the type appears in the stored reasons of
// refused notes.
type Names struct {
	Services       []ServiceName `json:",omitempty"`
	BackendServers []ServerName  `json:",omitempty"`
	Routes         []RouteName   `json:",omitempty"`
	Accounts       []AccountName `json:",omitempty"`
}

// Note is a release note: changes to the state that the notes before it led to.
type Note struct {
	Number Number
	Title  string
	// Base marks a note whose Added replaces the whole state. It may follow any lower number.
	Base      bool    `json:",omitempty"`
	Added     Entries `json:",omitzero"`
	Changed   Entries `json:",omitzero"`
	Withdrawn Names   `json:",omitzero"`
}

// Parse reads one release note from JSON and rejects unknown fields. Its errors are of kind Malformed.
func Parse(raw []byte) (Note, error) {
	const op = "parse release note"
	var n Note
	if len(raw) > MaxNoteBytes {
		return n, jyfault.New(op, Malformed, "%d bytes, at most %d allowed", len(raw), MaxNoteBytes)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		return n, jyfault.New(op, Malformed, "%w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return n, jyfault.New(op, Malformed, "text after the document")
	}
	return n, nil
}

// DigestOf returns the digest of a note's published bytes.
func DigestOf(raw []byte) Digest { return sha256.Sum256(raw) }

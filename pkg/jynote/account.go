package jynote

import (
	"encoding/hex"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Account is a client account: callers send requests for it with one of its keys.
type Account struct {
	Name AccountName
	// KeyDigests are the digests of its keys; the keys themselves are in no release note.
	KeyDigests []KeyDigest `json:",omitempty"`
	// Priority replaces the route's priority for requests of the account, if set.
	Priority *int `json:",omitempty"`
	// RequestsPerSecond is the quota of the account over all instances together; 0 means none.
	RequestsPerSecond float64 `json:",omitempty"`
	// Burst is the number of requests beyond RequestsPerSecond that the account may send at once.
	Burst float64 `json:",omitempty"`
}

// HasQuota reports whether the requests of the account are limited.
func (a Account) HasQuota() bool { return a.RequestsPerSecond > 0 || a.Burst > 0 }

// keyDigestBytes is the length of a KeyDigest. 128 bits rule out that a caller finds another key with the same digest.
const keyDigestBytes = 16

// KeyDigest is the first half of the SHA-256 digest of a key. Its text is hexadecimal.
type KeyDigest [keyDigestBytes]byte

// MarshalText returns the digest as 32 hexadecimal digits.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads what MarshalText wrote. Its errors are of kind Malformed.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(keyDigestBytes) {
		return jyfault.New("read key digest", Malformed, "%d characters, not %d", len(text), hex.EncodedLen(keyDigestBytes))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		// The cause is left out: it would quote a part of the text, which may be a key by mistake.
		return jyfault.New("read key digest", Malformed, "not hexadecimal")
	}
	return nil
}

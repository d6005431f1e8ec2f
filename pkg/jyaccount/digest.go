package jyaccount

import (
	"crypto/sha256"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// MaxKeyBytes bounds the length of a key.
const MaxKeyBytes = 256

// DigestOf returns the digest under which accounts list the key.
func DigestOf(key string) jynote.KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return jynote.KeyDigest(sum[:len(jynote.KeyDigest{})])
}

// IsKey reports whether a request can carry the text as its key: 1 to MaxKeyBytes printable ASCII characters.
func IsKey(text string) bool {
	if text == "" || len(text) > MaxKeyBytes {
		return false
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

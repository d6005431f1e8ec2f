package jydedup

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// InstanceName identifies an instance. It must not contain a tilde, which separates the parts of an id.
type InstanceName string

// Boot identifies a process run of an instance.
type Boot uint64

// Issuer is the process run that issued an id.
type Issuer struct {
	Instance InstanceName
	Boot     Boot
}

// Caller identifies an authenticated caller.
type Caller string

// Tag is a MAC over an id and its caller, by which the owner detects forged ids and ids of other callers.
type Tag [16]byte

// ID is a request id.
type ID struct {
	Issuer   Issuer
	Sequence uint64        // number of the id among those of its issuer, from 1
	Age      time.Duration // from the issuer's boot to the issue of the id, in whole milliseconds
	Tag      Tag
}

const idParts = 5

// String returns the id as callers send it, such as "entry-1~5f~2a~3e8~<32 hexadecimal digits>".
func (id ID) String() string {
	return strings.Join([]string{
		string(id.Issuer.Instance),
		strconv.FormatUint(uint64(id.Issuer.Boot), 16),
		strconv.FormatUint(id.Sequence, 16),
		strconv.FormatInt(id.Age.Milliseconds(), 16),
		hex.EncodeToString(id.Tag[:]),
	}, "~")
}

// ParseID parses an id in the form that String returns. It does not check the tag: Begin does. Its errors are of kind Malformed.
func ParseID(text string) (ID, error) {
	const op = "parse request id"
	parts := strings.Split(text, "~")
	if len(parts) != idParts {
		return ID{}, jyfault.New(op, Malformed, "%d parts in place of %d", len(parts), idParts)
	}
	boot, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return ID{}, jyfault.New(op, Malformed, "boot: %w", err)
	}
	sequence, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return ID{}, jyfault.New(op, Malformed, "sequence: %w", err)
	}
	age, err := strconv.ParseUint(parts[3], 16, 40)
	if err != nil {
		return ID{}, jyfault.New(op, Malformed, "age: %w", err)
	}
	id := ID{
		Issuer:   Issuer{Instance: InstanceName(parts[0]), Boot: Boot(boot)},
		Sequence: sequence,
		Age:      time.Duration(age) * time.Millisecond,
	}
	tag, err := hex.DecodeString(parts[4])
	if err != nil || len(tag) != len(id.Tag) {
		return ID{}, jyfault.New(op, Malformed, "the tag is not 32 hexadecimal digits")
	}
	copy(id.Tag[:], tag)
	return id, nil
}

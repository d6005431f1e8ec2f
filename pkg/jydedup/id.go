package jydedup

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// InstanceName identifies an instance.
type InstanceName string

// Boot identifies one run of an instance's process.
type Boot uint64

// Issuer is the process that issued an id.
type Issuer struct {
	Instance InstanceName
	Boot     Boot
}

// Caller identifies an authenticated caller.
type Caller string

// Tag authenticates an id to its issuer and binds it to a caller.
type Tag [16]byte

// ID is a request id: it names its issuer, its age and its caller's tag.
type ID struct {
	Issuer   Issuer
	Sequence uint64
	Age      time.Duration // since the issuer's boot, in whole milliseconds
	Tag      Tag
}

const idParts = 5

// String returns the id in the form that callers send, such as "entry-1~5f~2a~3e8~<32 hexadecimal digits>".
func (id ID) String() string {
	return strings.Join([]string{
		string(id.Issuer.Instance),
		strconv.FormatUint(uint64(id.Issuer.Boot), 16),
		strconv.FormatUint(id.Sequence, 16),
		strconv.FormatInt(id.Age.Milliseconds(), 16),
		hex.EncodeToString(id.Tag[:]),
	}, "~")
}

// ParseID reads an id as String wrote it; its errors are of kind Malformed.
func ParseID(text string) (ID, error) {
	const op = "parse request id"
	parts := strings.Split(text, "~")
	if len(parts) != idParts {
		return ID{}, jyfault.New(op, Malformed, "%d parts, not %d", len(parts), idParts)
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
		return ID{}, jyfault.New(op, Malformed, "tag")
	}
	copy(id.Tag[:], tag)
	return id, nil
}

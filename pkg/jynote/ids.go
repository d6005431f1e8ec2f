package jynote

import "encoding/hex"

// Number is the position of a release note in the sequence of all notes, from 1.
type Number uint64

// ServiceName identifies a service.
type ServiceName string

// ServerName identifies a backend server within the fleet.
type ServerName string

// RouteName identifies a route.
type RouteName string

// AccountName identifies a client account.
type AccountName string

// DataCentreName identifies a data centre.
type DataCentreName string

// Digest is a SHA-256 sum.
type Digest [32]byte

// String returns the first eight bytes in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

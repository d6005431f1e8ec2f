package jybackend

// RequestCounts holds the numbers of ended requests that were and were not served.
type RequestCounts struct {
	Served   uint32
	Unserved uint32
}

package jybackend

// RequestCounts counts requests by what became of them.
type RequestCounts struct {
	Served   uint32
	Unserved uint32
}

package jybackend

// Finished counts requests by what became of them.
type Finished struct {
	Served   uint32
	Unserved uint32
}

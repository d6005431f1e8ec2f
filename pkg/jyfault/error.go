package jyfault

import "fmt"

// Error is an error of one package, with the operation that failed, the kind of failure, and the cause if any.
type Error[K ~string] struct {
	Operation string
	Kind      K
	Cause     error
}

// New returns an error of kind k for operation op whose cause is formatted as by fmt.Errorf.
func New[K ~string](op string, k K, format string, args ...any) *Error[K] {
	return &Error[K]{Operation: op, Kind: k, Cause: fmt.Errorf(format, args...)}
}

// Error returns operation, kind and cause on one line.
func (e *Error[K]) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Operation, string(e.Kind))
	}
	return fmt.Sprintf("%s: %s: %v", e.Operation, string(e.Kind), e.Cause)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Cause }

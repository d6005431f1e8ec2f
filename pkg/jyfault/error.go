package jyfault

import "fmt"

// Error is an error of one package, whose kinds of error are the values of K.
type Error[K ~string] struct {
	Operation string // the operation that failed
	Kind      K      // the class of the error, which callers may depend on
	Cause     error  // nil if there is none
}

// New returns an error of kind k in operation op. Its cause is fmt.Errorf(format, args...), so %w wraps another error.
func New[K ~string](op string, k K, format string, args ...any) *Error[K] {
	return &Error[K]{Operation: op, Kind: k, Cause: fmt.Errorf(format, args...)}
}

// Error returns the operation, the kind and the cause, separated by colons.
func (e *Error[K]) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Operation, string(e.Kind))
	}
	return fmt.Sprintf("%s: %s: %v", e.Operation, string(e.Kind), e.Cause)
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error[K]) Unwrap() error { return e.Cause }

package jykernel

import "context"

// Name identifies a service of a Kernel.
type Name string

// Linker is a Service that depends on others. Link finds them with Find; it is called on all services before any of them runs.
type Linker interface {
	Link(k *Kernel) error
}

// Service is a unit that the kernel runs. Run returns when ctx ends, or earlier with an error. After a clean stop it returns nil.
type Service interface {
	Run(ctx context.Context) error
}

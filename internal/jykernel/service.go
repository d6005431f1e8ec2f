package jykernel

import "context"

// Name identifies a service of a Kernel.
type Name string

// Linker is a Service that depends on others. Link finds them; it is called on all services before any of them runs.
type Linker interface {
	Link(k *Kernel) error
}

// Service is a unit that the kernel runs until ctx ends. Run returns nil after a clean stop.
type Service interface {
	Run(ctx context.Context) error
}

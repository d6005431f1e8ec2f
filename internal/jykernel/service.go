package jykernel

import "context"

// Name identifies a service of a Kernel.
type Name string

// Linker is a Service that depends on others.
type Linker interface {
	// Link finds the other services with Find. The kernel calls it on each Linker before it runs any service.
	Link(k *Kernel) error
}

// Service is a unit that the kernel runs.
type Service interface {
	// Run runs until ctx ends and then returns nil. If it returns earlier, with or without an error, the kernel stops all services.
	Run(ctx context.Context) error
}

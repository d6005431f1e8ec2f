package jykernel

import "context"

// Name is the name by which services find each other.
type Name string

// Linker is a Service that finds others by name; Link is called on all services before any of them runs.
type Linker interface {
	Link(k *Kernel) error
}

// Service is a unit that the kernel runs until its context ends; Run returns nil after a clean stop.
type Service interface {
	Run(ctx context.Context) error
}

package jykernel

import "context"

// Name is the name by which services find each other.
type Name string

// Service is a unit that the kernel runs until its context ends; Run returns nil after a clean stop.
type Service interface {
	Run(ctx context.Context) error
}

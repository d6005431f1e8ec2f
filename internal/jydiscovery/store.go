package jydiscovery

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// Revision counts the changes of a store.
type Revision uint64

// Configuration is what the operators publish as a whole.
type Configuration struct {
	Version  jynote.Number
	Services []jynote.Service
	Routes   []jynote.Route
	// Connections bounds the connections of the whole fleet to one server, by service.
	Connections map[jynote.ServiceName]int
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
	// HeaderTimeout is how long a caller may take for the head of a request.
	HeaderTimeout time.Duration
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
}

// Snapshot is all that a store holds.
type Snapshot struct {
	Revision      Revision
	Configuration *Configuration // nil where there is none
	Registrations []jyregistry.Registration
}

// Changes is what became different in a store.
type Changes struct {
	Revision      Revision
	Configuration *Configuration // nil where it did not change
	Registered    []jyregistry.Registration
	// Removed names registrations that are gone, or cannot be read any more.
	Removed []jyregistry.ID
}

// Store reads what is published; its errors are of the kinds of this package.
type Store interface {
	// Read returns all, as of now.
	Read(ctx context.Context) (Snapshot, error)
	// Watch returns what changed after a revision, as soon as there is something, or nothing after the wait.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error)
}

package jykernel

import (
	"context"
	"errors"

	"github.com/oklog/run"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

type entry struct {
	name    Name
	service Service
}

// Kernel holds the named services of a process. All must be registered before Run, by one goroutine at a time.
type Kernel struct {
	entries []entry
}

// New returns a kernel without services.
func New() *Kernel { return &Kernel{} }

// Register adds a service. It fails with an error of kind Duplicate if the name is taken.
func (k *Kernel) Register(name Name, s Service) error {
	for _, e := range k.entries {
		if e.name == name {
			return jyfault.New("register service", Duplicate, "%s", name)
		}
	}
	k.entries = append(k.entries, entry{name: name, service: s})
	return nil
}

// Find returns the service of that name as type T. Its errors are of kind Missing or WrongType.
func Find[T any](k *Kernel, name Name) (T, error) {
	var zero T
	for _, e := range k.entries {
		if e.name != name {
			continue
		}
		s, ok := e.service.(T)
		if !ok {
			return zero, jyfault.New("find service", WrongType, "%s", name)
		}
		return s, nil
	}
	return zero, jyfault.New("find service", Missing, "%s", name)
}

// Run links and runs all services until ctx ends or one of them returns, then stops the others and waits for them. It returns
// the error of the service that returned first. Errors are of kind Failed.
func (k *Kernel) Run(ctx context.Context) error {
	if err := k.linkServices(); err != nil {
		return err
	}
	var g run.Group
	for _, e := range k.entries {
		child, cancel := context.WithCancel(ctx)
		g.Add(func() error {
			return wrapError(e.name, e.service.Run(child))
		}, func(error) { cancel() })
	}
	// This actor returns when ctx ends, which makes the group stop all services.
	waiting, stop := context.WithCancel(ctx)
	g.Add(func() error {
		<-waiting.Done()
		return nil
	}, func(error) { stop() })
	return g.Run()
}

// linkServices calls Link on each service that is a Linker.
func (k *Kernel) linkServices() error {
	for _, e := range k.entries {
		if l, ok := e.service.(Linker); ok {
			if err := l.Link(k); err != nil {
				return wrapError(e.name, err)
			}
		}
	}
	return nil
}

// wrapError returns an error that names the service. A cancelled context counts as a clean stop.
func wrapError(name Name, err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return jyfault.New("run service", Failed, "%s: %w", name, err)
}

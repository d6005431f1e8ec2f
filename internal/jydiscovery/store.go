package jydiscovery

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// Configuration holds the services, routes and limits that the operators publish together under one version.
type Configuration struct {
	// Version rises with each publication; a Discovery ignores a version that is not above the applied one.
	Version  jynote.Number
	Services []jynote.Service
	Routes   []jynote.Route
	Accounts []jynote.Account
	// Format is ConfigurationFormat. A configuration from an instance of an older build has another one: it lacks what that build
	// does not know.
	Format int
	// Connections is the maximum number of connections of the whole fleet to one server, by service.
	Connections map[jynote.ServiceName]int
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
	// HeaderTimeout is how long a caller may take to send the headers of a request.
	HeaderTimeout time.Duration
	// MaxHeaderBytes is the maximum size of the headers of a request, in bytes.
	MaxHeaderBytes int
}

// ConfigurationFormat is the Format of the configurations that this build reads from the store. Format 1 added Accounts.
// Configurations of other formats are not taken from instances: those of a lower one lack fields, and those of a higher one may have
// fields that this build would ignore although requests must not be served without them.
const ConfigurationFormat = 1

// checkFormat returns an error of kind OtherFormat if a configuration that an instance sent has another format. A nil one is valid.
func (c *Configuration) checkFormat(op string) error {
	if c == nil || c.Format == ConfigurationFormat {
		return nil
	}
	return jyfault.New(op, OtherFormat, "configuration %d has format %d, not %d", c.Version, c.Format, ConfigurationFormat)
}

// Snapshot is the whole content of a store at a position.
type Snapshot struct {
	Position
	Configuration *Configuration // nil if there is none
	// ConfigurationUnreadable is set if there is a configuration that cannot be decoded.
	ConfigurationUnreadable bool
	Registrations           []jyregistry.Registration
}

// Store reads the configuration and the registrations; its errors are of type Error.
type Store interface {
	// Read returns the whole content. Its error is of kind Restored if the store came back from a copy during the call.
	Read(ctx context.Context) (Snapshot, error)
	// Watch returns the changes after a revision as soon as there are some, or empty changes after the wait. Their position says to
	// which era the revision was applied. Its error is of kind Compacted if the store does not keep the changes since the revision
	// any more, or does not have the revision.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error)
}

package jydiscovery

import (
	"encoding/json"
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// Changes holds what changed in a store up to a position. Instances send it to each other as JSON.
type Changes struct {
	Position
	Configuration *Configuration // nil if it did not change
	// ConfigurationUnreadable is set if the newest configuration cannot be decoded. Configuration is then an older one, or nil.
	ConfigurationUnreadable bool
	// Events are the changes of registrations, in the order in which the store made them.
	Events []jyregistry.Event
}

func (c Changes) isEmpty() bool {
	return c.Configuration == nil && !c.ConfigurationUnreadable && len(c.Events) == 0
}

// merge adds later changes. Of several configurations it keeps the last one, of the registrations each change.
func (c *Changes) merge(later Changes) {
	if later.Configuration != nil {
		c.Configuration = later.Configuration
	}
	if later.Configuration != nil || later.ConfigurationUnreadable {
		c.ConfigurationUnreadable = later.ConfigurationUnreadable
	}
	c.Events = append(c.Events, later.Events...)
}

// changesMessage is the form of Changes between instances. Older builds know only Registered and Removed, and apply these in this
// order, so that they hold only the last change of each server.
type changesMessage struct {
	Position
	Configuration           *Configuration
	ConfigurationUnreadable bool `json:",omitempty"`
	Registered              []jyregistry.Registration
	Removed                 []jyregistry.ID
	// Events are all changes in their order; empty if no server has several.
	Events []jyregistry.Event `json:",omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (c Changes) MarshalJSON() ([]byte, error) {
	out := changesMessage{Position: c.Position, Configuration: c.Configuration, ConfigurationUnreadable: c.ConfigurationUnreadable}
	last := lastChanges(c.Events)
	for _, e := range last {
		if e.Registration == nil {
			out.Removed = append(out.Removed, e.ID)
			continue
		}
		out.Registered = append(out.Registered, *e.Registration)
	}
	if len(last) < len(c.Events) {
		out.Events = c.Events
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Changes) UnmarshalJSON(raw []byte) error {
	var in changesMessage
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	*c = Changes{
		Position: in.Position, Configuration: in.Configuration, ConfigurationUnreadable: in.ConfigurationUnreadable,
		Events: in.Events,
	}
	if len(in.Events) > 0 {
		return nil
	}
	for _, r := range in.Registered {
		c.Events = append(c.Events, jyregistry.Registered(r))
	}
	for _, id := range in.Removed {
		c.Events = append(c.Events, jyregistry.Removed(id))
	}
	return nil
}

// lastChanges returns the last change of each server, in the order of these.
func lastChanges(all []jyregistry.Event) []jyregistry.Event {
	seen := map[jyregistry.ID]bool{}
	var out []jyregistry.Event
	for _, e := range slices.Backward(all) {
		if !seen[e.ID] {
			seen[e.ID] = true
			out = append(out, e)
		}
	}
	slices.Reverse(out)
	return out
}

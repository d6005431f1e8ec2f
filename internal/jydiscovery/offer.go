package jydiscovery

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Holder is an instance whose configuration can be fetched.
type Holder interface {
	// Name returns the name or address of the instance for the log.
	Name() string
	// FetchConfiguration returns the configuration that the instance has applied, or nil if its version is not above the given one.
	FetchConfiguration(ctx context.Context, above jynote.Number) (*Configuration, error)
}

const (
	// offerDelay is how long a newer version may take to arrive from the store or a feed source before it is fetched.
	offerDelay = time.Second
	// offerTimeout bounds the fetch of a configuration from an instance.
	offerTimeout = 300 * time.Millisecond
)

// offer is a version that another instance was heard to hold.
type offer struct {
	holder  Holder
	version jynote.Number
	// firstHeard is when a version above the applied one was heard first.
	firstHeard time.Time
}

// Offer records that an instance holds a version of the configuration. If it stays above the applied one, it is fetched: the store
// may have lost it, or this instance may not reach the store.
func (d *Discovery) Offer(h Holder, version jynote.Number) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version <= d.versionLocked() || version <= d.offer.version {
		return
	}
	if d.offer.version <= d.versionLocked() {
		d.offer.firstHeard = time.Now()
	}
	d.offer.holder, d.offer.version = h, version
}

// takeOffer returns and forgets the offer of a version above the given one, if it is at least as old as minAge.
func (d *Discovery) takeOffer(above jynote.Number, minAge time.Duration) (offer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.offer
	if o.version <= above || time.Since(o.firstHeard) < minAge {
		return offer{}, false
	}
	d.offer = offer{}
	return o, true
}

// catchUp applies the configuration of another instance, if that was heard to hold a newer one for some time.
func (d *Discovery) catchUp(ctx context.Context) {
	version := d.ConfigurationVersion()
	if version == 0 {
		return
	}
	o, isBehind := d.takeOffer(version, offerDelay)
	if !isBehind {
		return
	}
	c := o.fetch(ctx, version)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.applyConfiguration(c) {
		d.publish()
	}
}

// newerThan returns the configuration of another instance if that was heard to hold a newer one than c, which may be nil, else c.
func (d *Discovery) newerThan(ctx context.Context, c *Configuration) *Configuration {
	version := jynote.Number(0)
	if c != nil {
		version = c.Version
	}
	o, isNewer := d.takeOffer(version, 0)
	if !isNewer {
		return c
	}
	if fetched := o.fetch(ctx, version); fetched != nil {
		return fetched
	}
	return c
}

// fetch returns the offered configuration, or nil if the instance does not return one above the version.
func (o offer) fetch(ctx context.Context, version jynote.Number) *Configuration {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	c, err := o.holder.FetchConfiguration(ctx, version)
	if err == nil {
		err = c.checkFormat("fetch configuration")
	}
	if err != nil {
		jylog.ConfigurationNotFetched.Log(o.holder.Name(), o.version, err)
		return nil
	}
	if c == nil || c.Version <= version {
		return nil
	}
	jylog.ConfigurationFetched.Log(o.holder.Name(), c.Version, version)
	return c
}

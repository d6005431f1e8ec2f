package jynode

import (
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/internal/jyrelease"
	"github.com/jackdawyard/jackdawyard/internal/jysettings"
	"github.com/jackdawyard/jackdawyard/pkg/jylease"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
	jyhost "github.com/jackdawyard/jackdawyard/platform"
)

// source provides the current services, routes and backend servers.
type source interface {
	jykernel.Service
	IsReady() bool
	CurrentNote() jypeer.NoteRef
	Status() jyrelease.Status
}

// usesStore reports whether the instance uses the platform's store instead of release notes.
func (n *Node) usesStore() bool { return n.settings.Source == jysettings.SourceStore }

// storeSource is the source of an instance that uses the platform's store.
type storeSource struct {
	*jydiscovery.Discovery
}

// CurrentNote returns the version of the current configuration, without a digest.
func (s storeSource) CurrentNote() jypeer.NoteRef {
	return jypeer.NoteRef{Number: s.ConfigurationVersion()}
}

// Status returns the state of the source for operators.
func (s storeSource) Status() jyrelease.Status {
	position := s.Position()
	return jyrelease.Status{
		Number: s.ConfigurationVersion(), ServiceAway: s.IsStoreUnavailable(), AgeSeconds: s.DataAge().Seconds(),
		StoreEra: uint64(position.Era), StoreRevision: uint64(position.Revision),
	}
}

// makeDiscovery creates the source of an instance that uses the platform's store.
func (n *Node) makeDiscovery(clients *jypeer.Clients) {
	n.source = storeSource{jydiscovery.New(jydiscovery.Config{
		Store: jyhost.NewStore(n.settings.ConfigurationAddress), WatchWait: n.settings.WatchWait,
		FeedSource: n.feedSourceFrom(clients), Alternatives: n.alternativesFrom(clients), OnState: n.applyRegistered,
		OnProof: n.onProof(), MaxProofAge: n.maxProofAge(),
	})}
}

// onProof returns the function that renews the key lease, nil if none is kept.
func (n *Node) onProof() func(jylease.Proof) {
	if n.keyLease == nil {
		return nil
	}
	return n.keyLease.renew
}

// maxProofAge returns for how long a proof is of use, 0 if no lease is kept.
func (n *Node) maxProofAge() time.Duration {
	if n.keyLease == nil {
		return 0
	}
	return jylease.Duration(n.settings.RevocationBound)
}

// keyLeaseOfProxy returns the lease for the proxy, nil if none is kept.
func (n *Node) keyLeaseOfProxy() jyproxy.KeyLease {
	if n.keyLease == nil {
		return nil
	}
	return n.keyLease
}

// proofCause returns why proofs are missing.
func (n *Node) proofCause() jydiscovery.Cause {
	s, usesStore := n.source.(storeSource)
	if !usesStore {
		return jydiscovery.CauseNoAnswer
	}
	return s.ProofCause()
}

// applyRegistered applies a state whose backend servers registered themselves in the store.
func (n *Node) applyRegistered(s jynote.State, servers []jyregistry.Server) {
	n.quotas.apply(s.Accounts)
	n.directory.Apply(s)
	snapshot := n.directory.Snapshot()
	for _, v := range servers {
		if server := snapshot.Server(v.Service, v.Name()); server != nil {
			server.SetColdUntil(v.ColdUntil)
		}
	}
}

// makeStoreProxy creates the proxy of an instance that uses the platform's store, with its block list.
func (n *Node) makeStoreProxy(clients *jypeer.Clients) {
	n.blockList = n.newBlockList(clients)
	n.proxy = jyproxy.New(jyproxy.Config{
		Directory: n.directory,
		Forwarder: jyproxy.NewForwarder(jyproxy.ForwarderConfig{
			IdleProofOfLife: n.settings.IdleProofOfLife, SilentConnectionLag: n.settings.SilentConnectionLag,
			OnEvidence: func(jynote.ServiceName) {}, BlockList: crashConfirmer{BlockList: n.blockList, node: n}, Detour: n.detour,
		}),
		KeyLease:       n.keyLeaseOfProxy(),
		Recorder:       n.burn,
		CallerLimiter:  n.newCallerLimiter(),
		Quotas:         n.quotas,
		CallerHeader:   n.settings.CallerHeader,
		MaxConcurrent:  n.settings.MaxConcurrent,
		MaxAnswerBytes: n.settings.MaxAnswerBytes,
		Dialect:        jyhost.Dialect(),
	})
}

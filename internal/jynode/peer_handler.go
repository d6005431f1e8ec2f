package jynode

import (
	"context"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jyevidence"
	"github.com/jackdawyard/jackdawyard/internal/jyfleet"
	"github.com/jackdawyard/jackdawyard/internal/jyrelay"
	"github.com/jackdawyard/jackdawyard/internal/jyrelease"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
)

// peerHandler joins the services that answer peers.
type peerHandler struct {
	*jyfleet.Fleet
	*jyrelease.Distributor
	*jyevidence.Evidence
	relay *jyrelay.Relay
	block *jyrelay.BlockList
	// follow answers instances that follow this one; nil where there is no store.
	follow followed
}

func (n *Node) peerHandler() peerHandler {
	return peerHandler{Fleet: n.fleet, Distributor: n.release, Evidence: n.evidence, relay: n.relay, block: n.block, follow: n.followed()}
}

// Relay runs a request that a peer relayed.
func (h peerHandler) Relay(ctx context.Context, r *connect.Request[jywire.RelayRequest]) (*connect.Response[jywire.RelayResponse], error) {
	return h.relay.HandleRelay(ctx, r)
}

// HandOver takes the request ids of a peer that shuts down.
func (h peerHandler) HandOver(ctx context.Context, r *connect.Request[jywire.HandOverRequest]) (*connect.Response[jywire.HandOverResponse], error) {
	return h.relay.HandleHandOver(ctx, r)
}

// Block takes a peer's word about a request that ended backend servers.
func (h peerHandler) Block(ctx context.Context, r *connect.Request[jywire.BlockRequest]) (*connect.Response[jywire.BlockResponse], error) {
	return h.block.HandleBlock(ctx, r)
}

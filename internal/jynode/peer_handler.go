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

// peerHandler combines the services that answer calls of peers. With the store, Distributor, Evidence and relay are nil.
type peerHandler struct {
	*jyfleet.Fleet
	*jyrelease.Distributor
	*jyevidence.Evidence
	relay     *jyrelay.Relay
	blockList *jyrelay.BlockList
	// changeFeed serves the store's changes to peers; nil without a store.
	changeFeed changeFeed
}

func (n *Node) peerHandler() peerHandler {
	return peerHandler{Fleet: n.fleet, Distributor: n.distributor, Evidence: n.evidence, relay: n.relay,
		blockList: n.blockList, changeFeed: n.changeFeed()}
}

// Relay runs a request that a peer relayed.
func (h peerHandler) Relay(ctx context.Context, r *connect.Request[jywire.RelayRequest]) (*connect.Response[jywire.RelayResponse], error) {
	return h.relay.HandleRelay(ctx, r)
}

// HandOver imports the request ids of a peer that shuts down.
func (h peerHandler) HandOver(ctx context.Context, r *connect.Request[jywire.HandOverRequest]) (*connect.Response[jywire.HandOverResponse], error) {
	return h.relay.HandleHandOver(ctx, r)
}

// Block applies a peer's report of a request that crashed backend servers.
func (h peerHandler) Block(ctx context.Context, r *connect.Request[jywire.BlockRequest]) (*connect.Response[jywire.BlockResponse], error) {
	return h.blockList.HandleBlock(ctx, r)
}

// Unblock applies a peer's report that a suspected request was answered.
func (h peerHandler) Unblock(ctx context.Context, r *connect.Request[jywire.UnblockRequest]) (*connect.Response[jywire.UnblockResponse], error) {
	return h.blockList.HandleUnblock(ctx, r)
}

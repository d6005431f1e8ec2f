package jynode

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// offerFrom returns a function that is called with the configuration version of each peer that is heard.
func (n *Node) offerFrom(clients *jypeer.Clients) func(address string, version jypeer.NoteRef) {
	return func(address string, version jypeer.NoteRef) {
		if s, ok := n.source.(storeSource); ok {
			s.Offer(holder{clients: clients, address: address}, version.Number)
		}
	}
}

// holder is a peer whose configuration can be fetched. It implements jydiscovery.Holder.
type holder struct {
	clients *jypeer.Clients
	address string
}

// Name returns the peer's address.
func (h holder) Name() string { return h.address }

// FetchConfiguration returns the peer's configuration, or nil if its version is not above the given one.
func (h holder) FetchConfiguration(ctx context.Context, above jynote.Number) (*jydiscovery.Configuration, error) {
	r, err := h.clients.At(h.address).FetchConfiguration(ctx, connect.NewRequest(&jywire.FetchConfigurationRequest{Above: uint64(above)}))
	if err != nil || len(r.Msg.GetConfiguration()) == 0 {
		return nil, err
	}
	var c jydiscovery.Configuration
	if err := json.Unmarshal(r.Msg.GetConfiguration(), &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// FetchConfiguration returns this instance's configuration to a peer.
func (h peerHandler) FetchConfiguration(
	_ context.Context, r *connect.Request[jywire.FetchConfigurationRequest],
) (*connect.Response[jywire.FetchConfigurationResponse], error) {
	if h.changeFeed == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoStore)
	}
	c := h.changeFeed.Configuration()
	if c == nil || c.Version <= jynote.Number(r.Msg.GetAbove()) {
		return connect.NewResponse(&jywire.FetchConfigurationResponse{}), nil
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&jywire.FetchConfigurationResponse{Configuration: raw}), nil
}

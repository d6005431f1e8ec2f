package jypeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jywire/jywireconnect"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

const readHeaderTimeout = 10 * time.Second

// Server accepts calls from other instances.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Handlers serve what other instances send.
type Handlers struct {
	Calls jywireconnect.PeerServiceHandler
	// Detours serves callers' requests at DetourPath.
	Detours    http.Handler
	DetourPath string
}

// Listen opens the address (host:port) for other instances; Run serves them. Its errors are of kind Unreachable.
func Listen(address string, c Credentials, h Handlers) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, jyfault.New("listen for peers", Unreachable, "%w", err)
	}
	path, handler := jywireconnect.NewPeerServiceHandler(h.Calls,
		connect.WithInterceptors(c.interceptor()),
		connect.WithReadMaxBytes(maxMessageBytes))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	mux.Handle(h.DetourPath, c.authorized(h.Detours))
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(c.tls == nil)
	s := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
	if c.tls != nil {
		listener = tls.NewListener(listener, c.tls)
		s.TLSConfig = c.tls
	}
	return &Server{listener: listener, http: s}, nil
}

// Run serves calls until ctx ends. Its errors are of kind Unreachable.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); err != nil && ctx.Err() == nil {
		return jyfault.New("serve peers", Unreachable, "%w", err)
	}
	return nil
}

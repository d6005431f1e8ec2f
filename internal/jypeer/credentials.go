package jypeer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jysettings"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// keyHeader is the header that carries the shared key.
const keyHeader = "Jackdawyard-Peer-Key"

// Credentials authenticate instances to each other by a shared key and by mutual TLS; both are optional. The zero value uses
// neither.
type Credentials struct {
	sharedKey string
	tls       *tls.Config // nil without mutual TLS
}

// LoadCredentials returns the shared key and the certificates that the settings name. Its errors are of kind BadKeys.
func LoadCredentials(s jysettings.Settings) (Credentials, error) {
	const op = "load peer credentials"
	c := Credentials{sharedKey: s.SharedKey}
	if s.CertificateFile == "" {
		return c, nil
	}
	pair, err := tls.LoadX509KeyPair(s.CertificateFile, s.PrivateKeyFile)
	if err != nil {
		return c, jyfault.New(op, BadKeys, "%w", err)
	}
	raw, err := os.ReadFile(s.AuthorityFile)
	if err != nil {
		return c, jyfault.New(op, BadKeys, "%w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(raw) {
		return c, jyfault.New(op, BadKeys, "no certificate in %s", s.AuthorityFile)
	}
	c.tls = &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}
	return c, nil
}

var errWrongKey = errors.New("wrong peer key")

// interceptor adds the shared key to outgoing calls, and refuses incoming calls without it.
func (c Credentials) interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if r.Spec().IsClient {
				r.Header().Set(keyHeader, c.sharedKey)
				return next(ctx, r)
			}
			if subtle.ConstantTimeCompare([]byte(r.Header().Get(keyHeader)), []byte(c.sharedKey)) != 1 {
				jylog.PeerRefused.Log(r.Peer().Addr)
				return nil, connect.NewError(connect.CodeUnauthenticated, errWrongKey)
			}
			return next(ctx, r)
		}
	})
}

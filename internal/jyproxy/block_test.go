package jyproxy_test

import (
	"cmp"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/pkg/jyaccount"
	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// answerRecorder is a block list that keeps the fingerprint of the last answered request.
type answerRecorder struct {
	noop
	last jyblock.Fingerprint
}

func (a *answerRecorder) RecordAnswer(f jyblock.Fingerprint) { a.last = f }

// Guards against a request of one client account that is blocked for what another account's equal request did.
func TestRequestsAreBlockedByAccountWhicheverWayTheyCome(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	state := accountState(server.Listener.Addr().String())
	state.Accounts = append(state.Accounts, jynote.Account{Name: "a2", KeyDigests: []jynote.KeyDigest{jyaccount.DigestOf("other-key")}})
	list := &answerRecorder{}
	p := newProxyOf(state, func(c *jyproxy.Config, f *jyproxy.ForwarderConfig) {
		c.Dialect = jyproxy.DefaultDialect()
		c.Dialect.KeyHeader = "Key"
		f.BlockList = list
	})
	fingerprint := func(host, key string, account jynote.AccountName) jyblock.Fingerprint {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/safe/x", nil)
		r.Host = cmp.Or(host, r.Host)
		list.last = jyblock.Fingerprint{}
		if account != "" {
			p.ServeDetour(w, r, jyproxy.DetourSource{Instance: "entry-2", Number: stateNumber, Account: account})
		} else {
			r.Header.Set("Key", key)
			p.ServeHTTP(w, r)
		}
		require.Equal(t, http.StatusOK, w.Code)
		return list.last
	}
	first := fingerprint("", secretKey, "")
	assert.NotEqual(t, first, fingerprint("", "other-key", ""), "another account")
	assert.Equal(t, first, fingerprint("10.0.0.2:8080", secretKey, ""), "sent again to another instance")
	assert.Equal(t, first, fingerprint("", "", "a1"), "sent through another instance")
}

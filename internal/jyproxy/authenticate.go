package jyproxy

import (
	"net/http"
	"net/textproto"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyaccount"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

const (
	// leaseRetryAfter is when a caller may come back that was refused for want of a lease: the next proof may come any moment, and
	// another instance may have one.
	leaseRetryAfter = 500 * time.Millisecond
	// minQuotaRetryAfter is the shortest time that a Retry-After of the platform can tell.
	minQuotaRetryAfter = time.Millisecond
)

// authenticate sets the account of a routed request, checks the lease, and takes a token of the account's quota. It returns a refusal
// if one of them forbids to serve the request.
func (p *Proxy) authenticate(r *request) *jyoutcome.Refusal {
	if !r.needsKey() {
		return nil
	}
	account, reason := r.snapshot.Accounts.Authenticate(r.header[textproto.CanonicalMIMEHeaderKey(r.dialect.KeyHeader)])
	if reason != "" && reason != jyoutcome.KeyUnknown {
		return keyRefusal(reason)
	}
	// An instance without a lease may lack a new key, so it must not call the key unknown.
	if !r.isLeased {
		return leaseRefusal()
	}
	if reason != "" {
		return keyRefusal(reason)
	}
	r.account = account
	return p.takeToken(r)
}

// takeToken counts the request at the quota of its account, or returns a refusal if that is reached.
func (p *Proxy) takeToken(r *request) *jyoutcome.Refusal {
	if p.config.Quotas == nil || !r.account.HasQuota() {
		return nil
	}
	ok, wait := p.config.Quotas.Admit(r.account)
	if !ok {
		r.service.RecordOverQuota()
		return &jyoutcome.Refusal{
			Outcome: jyoutcome.NotRun, Reason: jyoutcome.QuotaReached, Status: http.StatusTooManyRequests,
			Detail: "The client account is over its quota.", RetryAfter: max(wait, minQuotaRetryAfter),
		}
	}
	r.quotas = p.config.Quotas
	return nil
}

// returnToken returns the token of a request that did not run, once.
func (r *request) returnToken() {
	if r.quotas == nil {
		return
	}
	r.quotas.Return(r.account)
	r.quotas = nil
}

// needsKey reports whether the request must belong to an account.
func (r *request) needsKey() bool { return !r.snapshot.Accounts.IsEmpty() && !r.match.Route.Public }

// acceptAccount sets the account that another instance found for the request. It returns false if the request needs one and the
// configuration here has none of that name.
func (r *request) acceptAccount(name jynote.AccountName) bool {
	if !r.needsKey() {
		return true
	}
	r.account = r.snapshot.Accounts.Account(name)
	return r.account != nil
}

// accountName returns the name of the account, empty if the request needs none.
func (r *request) accountName() jynote.AccountName {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// holdsLease reports whether the request may be sent now, as far as its key is concerned.
func (r *request) holdsLease() bool { return r.account == nil || r.lease == nil || r.lease.IsValid() }

// priority ranks the request among those that compete for a backend server; 0 comes first.
func (r *request) priority() int {
	if r.account != nil && r.account.Priority != nil {
		return *r.account.Priority
	}
	return r.match.Route.Priority
}

// outgoingHeader returns the headers that are sent on: the end-to-end ones, if there are accounts without those of keys and accounts.
func (r *request) outgoingHeader() http.Header {
	// Room for the remaining time, the expected server, the account and the user agent.
	const addedHeaders = 4
	out := make(http.Header, len(r.header)+addedHeaders)
	copyHeaders(out, r.header)
	r.dropAccountHeaders(out)
	return out
}

// relayedHeader returns the headers for the instance that owns the request id: those of the caller without the key, and the account.
func (r *request) relayedHeader() http.Header {
	out := r.header.Clone()
	out.Del(HeaderAccount)
	out.Del(HeaderKey)
	r.dropAccountHeaders(out)
	if r.account != nil {
		out.Set(HeaderAccount, string(r.account.Name))
	}
	return out
}

// dropAccountHeaders removes the headers of keys and accounts, unless there are no accounts.
func (r *request) dropAccountHeaders(h http.Header) {
	if r.snapshot.Accounts.IsEmpty() {
		return
	}
	key, account := textproto.CanonicalMIMEHeaderKey(r.dialect.KeyHeader), textproto.CanonicalMIMEHeaderKey(r.dialect.AccountHeader)
	for name := range h {
		if canonical := textproto.CanonicalMIMEHeaderKey(name); canonical == key || canonical == account {
			delete(h, name)
		}
	}
}

// refusalWithoutLease returns the refusal of a request that must not be sent, or not again, since the lease on the keys is over.
func (r *request) refusalWithoutLease() *jyoutcome.Refusal {
	if !r.mayHaveRun {
		return leaseRefusal()
	}
	return &jyoutcome.Refusal{
		Outcome: jyoutcome.Unknown, Reason: jyoutcome.AccountsStale, Status: http.StatusBadGateway,
		Detail: "A backend server may have run the request, and it must not be sent again.", RetryAfter: leaseRetryAfter,
	}
}

func leaseRefusal() *jyoutcome.Refusal {
	return &jyoutcome.Refusal{
		Outcome: jyoutcome.NotRun, Reason: jyoutcome.AccountsStale, Status: http.StatusServiceUnavailable,
		Detail: "This instance does not know whether keys were revoked lately.", RetryAfter: leaseRetryAfter,
	}
}

// keyDetails explain the refusals of keys.
var keyDetails = map[jyaccount.Refusal]string{
	jyoutcome.KeyMissing: "The route needs a key.",
	jyoutcome.KeyInvalid: "A request needs one key of 1 to 256 printable ASCII characters.",
	jyoutcome.KeyUnknown: "The key belongs to no client account.",
}

func keyRefusal(reason jyaccount.Refusal) *jyoutcome.Refusal {
	return &jyoutcome.Refusal{
		Outcome: jyoutcome.NotRun, Reason: reason, Status: http.StatusUnauthorized, Detail: keyDetails[reason],
	}
}

func unknownAccount() *jyoutcome.Refusal {
	return &jyoutcome.Refusal{
		Outcome: jyoutcome.NotRun, Reason: jyoutcome.KeyUnknown, Status: http.StatusUnauthorized,
		Detail: "The client account does not exist here.",
	}
}

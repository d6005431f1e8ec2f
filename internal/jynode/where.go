package jynode

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
	"github.com/jackdawyard/jackdawyard/pkg/jywhere"
)

// The query parameters of PathWhere. Account and Digest name the client account; a key itself is never sent.
const (
	WhereHost    = "host"
	WherePath    = "path"
	WhereMethod  = "method"
	WhereAccount = "account"
	WhereDigest  = "digest"
	WhereBytes   = "bytes"
)

// Where explains where this instance would send a request now, and why.
type Where struct {
	Instance   string
	DataCentre string
	// Number and Revision are those of the configuration in force.
	Number   jynote.Number
	Revision uint64
	Route    jynote.RouteName
	Service  jynote.ServiceName
	// OtherServices lists the services that would get the request instead if the route is split.
	OtherServices []jynote.ServiceName `json:",omitempty"`
	Idempotent    bool
	Priority      int // 0 is the highest
	// NeedsKey says that the request must belong to a client account, which Account is.
	NeedsKey bool
	Account  *WhereAccountStatus `json:",omitempty"`
	// PathLost says that no connection to any server can be opened from this instance, so that the request goes through another one.
	PathLost bool `json:",omitempty"`
	jywhere.Answer
}

// WhereAccountStatus is the client account of a request.
type WhereAccountStatus struct {
	Name              jynote.AccountName
	RequestsPerSecond float64
	Burst             float64
	// Level is how many requests may run at once; absent without a quota and where none was used lately.
	Level *float64 `json:",omitempty"`
}

// whereQuery is the request that an operator asks about.
type whereQuery struct {
	host, path, method string
	account            jynote.AccountName
	digest             *jynote.KeyDigest
	bytes              int64
}

// serveWhere answers PathWhere.
func (n *Node) serveWhere(c echo.Context) error {
	q, err := parseWhere(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, n.where(time.Now(), q))
}

func parseWhere(c echo.Context) (whereQuery, error) {
	q := whereQuery{
		host: c.QueryParam(WhereHost), path: c.QueryParam(WherePath), method: cmp.Or(c.QueryParam(WhereMethod), http.MethodGet),
		account: jynote.AccountName(c.QueryParam(WhereAccount)),
	}
	if text := c.QueryParam(WhereDigest); text != "" {
		q.digest = &jynote.KeyDigest{}
		if err := q.digest.UnmarshalText([]byte(text)); err != nil {
			return q, err
		}
	}
	if text := c.QueryParam(WhereBytes); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return q, err
		}
		q.bytes = max(0, n)
	}
	return q, nil
}

// where explains where the request would be sent. It sends nothing, and takes nothing from quotas, limits and budgets.
func (n *Node) where(now time.Time, q whereQuery) Where {
	snapshot := n.directory.Snapshot()
	out := Where{
		Instance: n.settings.Name, DataCentre: n.settings.DataCentre,
		Number: snapshot.State.Number, Revision: snapshot.State.Revision,
	}
	if snapshot.State.Number == 0 {
		return out.refused(jyoutcome.NoReleaseNote)
	}
	match, ok := snapshot.Routes.Find(jyroute.Request{Host: jyproxy.HostWithoutPort(q.host), Method: q.method, Path: q.path})
	if !ok {
		return out.refused(jyoutcome.NoRoute)
	}
	service := snapshot.Service(match.Service.Name)
	out.Route, out.Service, out.Idempotent, out.Priority = match.Route.Name, match.Service.Name, match.Idempotent, match.Route.Priority
	for _, s := range match.Route.Split {
		if s.Service != out.Service {
			out.OtherServices = append(out.OtherServices, s.Service)
		}
	}
	out.PathLost = !service.PathLostSince().IsZero()
	refusal := cmp.Or(n.instanceRefusal(), n.addAccount(now, &out, snapshot, match, q), bodyRefusal(match, q))
	objective := time.Duration(cmp.Or(match.Route.ObjectiveMilliseconds, match.Service.Objective.LatencyMilliseconds)) * time.Millisecond
	facts, ok := service.Examine(now, jybackend.Requirements{
		Idempotent: match.Idempotent, Objective: objective, IsRetryable: match.Idempotent && service.IsRetryBudgetHalfFull(),
		Priority: out.Priority,
	}, q.bytes)
	facts.Refusal, facts.NoServer = refusal, jyproxy.NoServerReason(now, service)
	if !ok && refusal == "" {
		return out.withoutOrder(service)
	}
	out.Answer = jywhere.Explain(facts)
	return out
}

// withoutOrder completes the explanation where servers are chosen by slots: two random ones of the subset are compared, so that no order
// can be shown.
func (w Where) withoutOrder(v *jybackend.Service) Where {
	w.Decision = jywhere.Served
	if v.Capacity().UsableSlots == 0 {
		w.Decision, w.Reason = jywhere.Refused, jyoutcome.NoBackendServer
	}
	return w
}

func (w Where) refused(reason jyoutcome.Reason) Where {
	w.Decision, w.Reason = jywhere.Refused, reason
	return w
}

// instanceRefusal returns why this instance refuses any request now, or "".
func (n *Node) instanceRefusal() jyoutcome.Reason {
	if n.proxy.InProgress() > int64(n.settings.MaxConcurrent) {
		return jyoutcome.Overloaded
	}
	return ""
}

func bodyRefusal(m jyroute.Match, q whereQuery) jyoutcome.Reason {
	if limit := m.Service.MaxBodyBytes; limit > 0 && q.bytes > limit {
		return jyoutcome.BodyTooLarge
	}
	return ""
}

// addAccount adds the client account of the request, and returns why the request is refused for it, or "". The order of the checks is
// that of the proxy.
func (n *Node) addAccount(now time.Time, out *Where, snapshot *jybackend.Snapshot, m jyroute.Match, q whereQuery) jyoutcome.Reason {
	out.NeedsKey = !snapshot.Accounts.IsEmpty() && !m.Route.Public
	if !out.NeedsKey {
		return ""
	}
	if q.account == "" && q.digest == nil {
		return jyoutcome.KeyMissing
	}
	account := findAccount(snapshot.State, q)
	if account != nil {
		out.Account = n.accountStatus(now, account)
		if account.Priority != nil {
			out.Priority = *account.Priority
		}
	}
	switch {
	case n.keyLease != nil && !n.keyLease.IsValid():
		return jyoutcome.AccountsStale
	case account == nil:
		return jyoutcome.KeyUnknown
	case out.Account.Level != nil && account.HasQuota() && *out.Account.Level < 1:
		return jyoutcome.QuotaReached
	}
	return ""
}

func (n *Node) accountStatus(now time.Time, a *jynote.Account) *WhereAccountStatus {
	out := &WhereAccountStatus{Name: a.Name, RequestsPerSecond: a.RequestsPerSecond, Burst: a.Burst}
	if level, ok := n.quotas.level(now, a); ok {
		out.Level = &level
	}
	return out
}

// findAccount returns the account with the name or the key digest, or nil.
func findAccount(s jynote.State, q whereQuery) *jynote.Account {
	for i, a := range s.Accounts {
		if a.Name == q.account || q.digest != nil && slices.Contains(a.KeyDigests, *q.digest) {
			return &s.Accounts[i]
		}
	}
	return nil
}

package jysoak

import (
	"fmt"
	"net/http"
	"time"
)

// applyTime is the time after the publication of a version from which a settled instance must use it.
const applyTime = 2 * time.Second

// checkAddedRoutes reports requests on routes that had been added applyTime before, for which a settled instance knew no route.
func checkAddedRoutes(r Record) []Violation {
	var out []Violation
	for _, q := range r.Requests {
		if q.AddedRoute == 0 || q.Status != http.StatusNotFound || !r.isSettled(q) {
			continue
		}
		added := r.RoutesAdded[q.AddedRoute-1]
		if q.Sent <= added+applyTime {
			continue
		}
		out = append(out, Violation{"configuration applied", fmt.Sprintf(
			"request %s, sent at %.2f s to instance %d, got 404 on route %d, which was added at %.2f s",
			q.ID, q.Sent.Seconds(), q.Instance, q.AddedRoute, added.Seconds())})
	}
	return out
}

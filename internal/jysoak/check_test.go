package jysoak_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/internal/jysoak"
)

const second = time.Second

// request is one that instance 0 served at 20 s.
func request(change func(*jysoak.Request)) jysoak.Request {
	a := jysoak.Request{ID: "r", Sent: 20 * second, Ended: 21 * second, Status: http.StatusOK, Body: "answer to r", Signed: true}
	if change != nil {
		change(&a)
	}
	return a
}

func ran(service, server int, at time.Duration) jysoak.Execution {
	return jysoak.Execution{ID: "r", Service: service, Server: server, At: at}
}

func TestEachBrokenPromiseIsFound(t *testing.T) {
	once := []jysoak.Execution{ran(0, 0, 20*second)}
	refused := request(func(a *jysoak.Request) { a.Status, a.Body = http.StatusServiceUnavailable, "" })
	unanswered := request(func(a *jysoak.Request) { a.Status, a.Body, a.Signed = 0, "", false })
	shutdown := jysoak.Step{Kind: jysoak.Terminate, At: 20 * second, Duration: second}
	drained := jysoak.Step{Kind: jysoak.ServerDrain, At: 15 * second, Duration: 20 * second}
	tests := map[string]struct {
		record jysoak.Record
		want   string
	}{
		"a served request":            {record: jysoak.Record{Requests: []jysoak.Request{request(nil)}, Executions: once}},
		"a request that ran twice":    {record: jysoak.Record{Requests: []jysoak.Request{request(nil)}, Executions: []jysoak.Execution{once[0], once[0]}}, want: "at most once"},
		"a repeated idempotent one":   {record: jysoak.Record{Requests: []jysoak.Request{request(func(a *jysoak.Request) { a.IsIdempotent = true })}, Executions: []jysoak.Execution{once[0], once[0]}}},
		"a refusal that did not run":  {record: jysoak.Record{Requests: []jysoak.Request{refused}}},
		"a refusal that ran":          {record: jysoak.Record{Requests: []jysoak.Request{refused}, Executions: once}, want: "true refusals"},
		"the answer to another":       {record: jysoak.Record{Requests: []jysoak.Request{request(func(a *jysoak.Request) { a.Body = "answer to q" })}}, want: "own, whole answers"},
		"an answer without signature": {record: jysoak.Record{Requests: []jysoak.Request{request(func(a *jysoak.Request) { a.Signed = false })}}, want: "own, whole answers"},
		"cut off at shutdown":         {record: jysoak.Record{Plan: []jysoak.Step{shutdown}, Requests: []jysoak.Request{unanswered}, Executions: once}, want: "nothing cut off at shutdown"},
		"cut off beside another fault": {record: jysoak.Record{
			Plan: []jysoak.Step{shutdown, {Kind: jysoak.LinkReset, At: 20 * second, Duration: second}}, Requests: []jysoak.Request{unanswered}, Executions: once}},
		"sent to a server that left": {record: jysoak.Record{Plan: []jysoak.Step{drained}, Requests: []jysoak.Request{request(nil)}, Executions: once}, want: "drain"},
		"sent to it while the store is away": {record: jysoak.Record{
			Plan: []jysoak.Step{drained, {Kind: jysoak.StoreAway, At: 18 * second, Duration: second}}, Requests: []jysoak.Request{request(nil)}, Executions: once}},
		"sent to the service that the route left": {record: jysoak.Record{
			Requests: []jysoak.Request{request(nil), {ID: "q", Sent: 10 * second}}, Executions: []jysoak.Execution{once[0], {ID: "q", Service: 1, At: 10 * second}}}, want: "no regress"},
		"by the next run of the process": {record: jysoak.Record{
			Requests: []jysoak.Request{request(func(a *jysoak.Request) { a.Boot = 2 }), {ID: "q", Boot: 1, Sent: 10 * second}}, Executions: []jysoak.Execution{once[0], {ID: "q", Service: 1, At: 10 * second}}}},
		"nothing served after all": {record: jysoak.Record{Requests: []jysoak.Request{unanswered}, FaultsEnded: second}, want: "recovery"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if tt.record.FaultsEnded == 0 {
				tt.record.FaultsEnded = 100 * second
			}
			var got []string
			for _, v := range jysoak.Check(tt.record) {
				got = append(got, v.Guarantee)
			}
			if tt.want == "" {
				assert.Empty(t, got)
				return
			}
			assert.Equal(t, []string{tt.want}, got)
		})
	}
}

func TestAPlanIsTheSameForASeedAndEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		plan := jysoak.GeneratePlan(seed, 20*second, 3, 8, 9)
		assert.Equal(t, plan, jysoak.GeneratePlan(seed, 20*second, 3, 8, 9))
		for i, s := range plan {
			assert.LessOrEqual(t, s.End(), 20*second)
			assert.Less(t, s.Target, 8)
			if i > 0 {
				assert.GreaterOrEqual(t, s.At, plan[i-1].At)
			}
		}
	})
}

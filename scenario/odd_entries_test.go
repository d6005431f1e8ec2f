package scenario_test

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// oddEntry returns an entry as another program might write it: change replaces parts of a valid one.
func oddEntry(address string, change ...string) []byte {
	text := fmt.Sprintf(`{"Address":%q,"NodeInfo":{"Service":"s1","Version":"v1","Zone":"dc-1","Slots":4},`+
		`"Status":{"State":"ready","SeqNo":1,"ColdRemaining":"0ms"},"born":1700000000000}`, address)
	return []byte(strings.NewReplacer(change...).Replace(text))
}

// Guards against one odd entry among those of the servers that ends the instances, keeps them from following the store, or draws requests.
func TestAnOddEntryOfAnotherWriterCostsNothingButItself(t *testing.T) {
	const deep = 200_000
	// Nothing listens at the address.
	const nobody = "127.0.0.1:1"
	tests := map[string]struct {
		key   string
		value []byte
	}{
		"very deeply nested":             {"servers/odd", []byte(strings.Repeat("[", deep) + strings.Repeat("]", deep))},
		"a field very deeply nested":     {"servers/odd", oddEntry(nobody, `"v1"`, strings.Repeat("[", deep)+strings.Repeat("]", deep))},
		"deeply nested and never closed": {"servers/odd", []byte(strings.Repeat(`{"a":`, deep))},
		"slots beyond all integers":      {"servers/odd", oddEntry(nobody, `"Slots":4`, `"Slots":1e400`)},
		"the largest number of slots":    {"servers/odd", oddEntry(nobody, `"Slots":4`, fmt.Sprint(`"Slots":`, math.MaxInt64))},
		"a billion slots":                {"servers/odd", oddEntry(nobody, `"Slots":4`, `"Slots":1000000000`)},
		"the largest sequence number":    {"servers/odd", oddEntry(nobody, `"SeqNo":1`, fmt.Sprint(`"SeqNo":`, math.MaxInt64))},
		"a start in the far future":      {"servers/odd", oddEntry(nobody, `"born":1700000000000`, fmt.Sprint(`"born":`, math.MaxInt64))},
		"a negative start":               {"servers/odd", oddEntry(nobody, `"born":1700000000000`, fmt.Sprint(`"born":`, math.MinInt64))},
		"cold for centuries":             {"servers/odd", oddEntry(nobody, `"0ms"`, `"2000000h"`)},
		"a port out of range":            {"servers/odd", oddEntry("127.0.0.1:70000")},
		"a negative port":                {"servers/odd", oddEntry("127.0.0.1:-1")},
		"no port":                        {"servers/odd", oddEntry("127.0.0.1:0")},
		"an address for all interfaces":  {"servers/odd", oddEntry("0.0.0.0:1")},
		"a name in place of an address":  {"servers/odd", oddEntry("server.example:80")},
		"an id with a line break":        {"servers/odd\r\nX: y", oddEntry(nobody)},
		"an empty id":                    {"servers/", oddEntry(nobody)},
		"a zone of a megabyte":           {"servers/odd", oddEntry(nobody, `"dc-1"`, `"`+strings.Repeat("z", 700_000)+`"`)},
		"null":                           {"servers/odd", []byte("null")},
		"an empty value":                 {"servers/odd", nil},
	}
	var servers []*jyhoststandin.Server
	for i := range 3 {
		servers = append(servers, jyhoststandin.NewServer(fmt.Sprintf("i-%d", i), "s1"))
	}
	in := startStoreInstance(t, servers...)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := in.countLogged("Event=208 ")
			in.store.Put(tt.key, tt.value)
			late := jyhoststandin.NewServer(fmt.Sprint("late-", time.Now().UnixNano()), "s1")
			t.Cleanup(late.Close)
			late.Register(in.store)
			in.eventually(func() bool { return in.countLogged("Event=208 ") > before })
			in.eventually(func() bool {
				in.send(http.MethodGet, "/safe/x")
				return len(late.Arrivals()) > 0
			})
			for range 20 {
				a := in.send(http.MethodPost, "/unsafe/x")
				require.NoError(t, a.Err)
				assert.Equal(t, http.StatusOK, a.Status, a.Body)
			}
			late.Drain(in.store)
			in.store.Delete(tt.key)
		})
	}
	assert.Zero(t, in.countLogged("panic"))
}

package jyproxy_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

func TestServerThatSentRetryAfterGetsNoRequestUntilItExpires(t *testing.T) {
	date := func(d time.Duration) string { return time.Now().Add(d).UTC().Format(http.TimeFormat) }
	tests := map[string]struct {
		header   string
		isPaused bool
	}{
		"seconds":               {header: "20", isPaused: true},
		"a fraction of seconds": {header: "20.5", isPaused: true},
		"surrounding spaces":    {header: "  20 ", isPaused: true},
		"a future date":         {header: date(time.Minute), isPaused: true},
		"over the maximum":      {header: "99999999999999999999", isPaused: true},
		"infinity":              {header: "+Inf", isPaused: true},
		"a past date":           {header: date(-time.Minute)},
		"negative":              {header: "-20"},
		"zero":                  {header: "0"},
		"not a number":          {header: "NaN"},
		"text":                  {header: "soon"},
		"no header":             {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var reached atomic.Int32
			proxy, _ := start(t, func(w http.ResponseWriter, _ *http.Request) {
				reached.Add(1)
				if tt.header != "" {
					w.Header().Set("Retry-After", tt.header)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			var last *http.Response
			for range 3 {
				resp, err := http.Post(proxy+"/x", "text/plain", http.NoBody)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				last = resp
			}
			if !tt.isPaused {
				assert.Equal(t, int32(3), reached.Load())
				return
			}
			assert.Equal(t, int32(1), reached.Load())
			assert.Equal(t, http.StatusServiceUnavailable, last.StatusCode)
			assert.Equal(t, string(jyoutcome.NotRun), last.Header.Get(jyoutcome.Header))
			assert.NotEmpty(t, last.Header.Get("Retry-After"))
		})
	}
}

func TestRefusalCarriesRetryAfterOfPausedServer(t *testing.T) {
	proxy, _ := start(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "20")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var got []string
	for range 2 {
		resp, err := http.Post(proxy+"/x", "text/plain", http.NoBody)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		got = append(got, resp.Header.Get("Retry-After"))
	}
	assert.Equal(t, []string{"20", "20"}, got)
}

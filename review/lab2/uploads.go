//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["uploads"] = playUploads }

const (
	uploads = 30
	// uploadBytes is far below the MaxBodyBytes of the configuration, 64 MiB.
	uploadBytes = 100_000
)

// playUploads sends proper requests with a body in chunks or, without the trouble, the same ones with a length. At most 5 and one in 500 of
// all may be ended with a 4xx of the system's own.
func playUploads(l *lab, trouble bool) (broken bool, err error) {
	for i := range 4 {
		if _, err := l.startServer(fmt.Sprintf("server-%d", i+1), "orders", 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	l.publish(3, route{name: "submit", prefix: "/submit/", kind: "unsafe", service: "orders", timeout: "1200ms", maxAttempts: 2})
	if err := l.startInstances(3); err != nil {
		return false, err
	}
	denied := 0
	for i := range uploads {
		r := request{
			id: fmt.Sprintf("upload-%d", i), method: "POST", target: fmt.Sprintf("/submit/%d", i), body: strings.Repeat("m", uploadBytes), isChunked: trouble,
		}
		in := l.instances[i%len(l.instances)]
		a := in.send(r)
		l.note("%s %s %s, %d bytes, in chunks %t, to %s: %v", r.id, r.method, r.target, len(r.body), r.isChunked, in.name, a)
		if a.status >= 300 && a.status < 500 && a.signature == "" && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	for _, r := range l.runs() {
		l.note("%s ran %s: %s %s, %d bytes", r.server, r.id, r.method, r.target, r.bodyBytes)
	}
	l.note("%d of %d requests were denied", denied, uploads)
	return float64(denied) > 5+float64(uploads)/500, nil
}

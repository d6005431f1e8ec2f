//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a client attempt and what came of it.
type sent struct {
	id, node, method, path string
	at, ended              time.Duration // since the start of the record
	status                 int           // 0 without a complete answer
	err                    string
	body                   string
	signature              string
	key                    string // that the request carried
}

// clients send requests and collect what came of them.
type clients struct {
	rec  *recorder
	http *http.Client
	mu   sync.Mutex
	all  []sent
	wait sync.WaitGroup
	next atomic.Int64
}

func newClients(rec *recorder) *clients {
	return &clients{rec: rec, http: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// send sends one request on a new connection, and waits for its end.
func (c *clients) send(i *instance, host, method, path string, body []byte, budget time.Duration, header map[string]string) sent {
	out := sent{id: fmt.Sprintf("%016x", 0xa000+c.next.Add(1)), node: i.name, method: method, path: path, at: c.rec.since(), key: header["Key"]}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+"/", bytes.NewReader(body))
	if err != nil {
		fail("make request: %v", err)
	}
	r.URL.Opaque = path
	r.Host = host
	r.Header.Set("Attempt-Id", out.id)
	r.Header.Set("Time-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	c.rec.log("request %s is sent to %s: %s %s", out.id, i.name, method, path)
	resp, err := c.http.Do(r)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.body, out.signature = string(raw), resp.Header.Get("Response-Signature")
		out.status = resp.StatusCode
	}
	out.ended = c.rec.since()
	if err != nil {
		out.status, out.err = 0, err.Error()
		c.rec.log("request %s ends without an answer: %v", out.id, err)
	} else {
		c.rec.log("request %s is answered: %d, signature %q", out.id, out.status, out.signature)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, out)
	return out
}

// drive sends requests at a rate to the instances in turn until stop is closed.
func (c *clients) drive(f *fleet, perSecond float64, stop <-chan struct{}, one func(i *instance)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			c.wait.Wait()
			return
		case <-ticker.C:
			i := f.instances[n%len(f.instances)]
			c.wait.Add(1)
			go func() {
				defer c.wait.Done()
				one(i)
			}()
		}
	}
}

func (c *clients) list() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.all...)
}

// sendRaw sends a request byte by byte as given, on a connection of its own.
func (c *clients) sendRaw(i *instance, host, method, path string, budget time.Duration) sent {
	out := sent{id: fmt.Sprintf("%016x", 0xa000+c.next.Add(1)), node: i.name, method: method, path: path, at: c.rec.since()}
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		fail("connect: %v", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(budget))
	c.rec.log("request %s is sent to %s: %s %s", out.id, i.name, method, path)
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		method, path, host, out.id, budget.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		raw, _ := io.ReadAll(resp.Body)
		out.status, out.body, out.signature = resp.StatusCode, string(raw), resp.Header.Get("Response-Signature")
	}
	out.ended = c.rec.since()
	c.rec.log("request %s is answered: %d %v", out.id, out.status, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, out)
	return out
}

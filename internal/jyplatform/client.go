package jyplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Paths of the platform's configuration service.
const (
	HeadPath      = "/notes/head" // query parameters: After, WaitMilliseconds
	NotePath      = "/notes/"     // followed by the note's number
	InstancesPath = "/instances"
)

const readTimeout = 5 * time.Second // of a call, in addition to the wait of Head

// Client reads the platform's configuration service over HTTP. Its errors are of type Error. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the configuration service at base, such as "http://127.0.0.1:7000".
func NewClient(base string) *Client {
	return &Client{baseURL: base, http: &http.Client{}}
}

// Head returns the numbers of the newest notes. With after above 0, the service waits up to wait for a higher number.
func (c *Client) Head(ctx context.Context, after jynote.Number, wait time.Duration) (Head, error) {
	var h Head
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	path := fmt.Sprintf("%s?After=%d&WaitMilliseconds=%d", HeadPath, after, wait.Milliseconds())
	raw, err := c.get(ctx, path)
	if err != nil {
		return h, err
	}
	if err := json.Unmarshal(raw, &h); err != nil {
		return h, jyfault.New("read head", Malformed, "%w", err)
	}
	return h, nil
}

// Note returns the JSON of a release note as it was published. The error is of kind Missing if there is no such note.
func (c *Client) Note(ctx context.Context, n jynote.Number) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.get(ctx, fmt.Sprintf("%s%d", NotePath, n))
}

// Instances returns the platform's list of instances.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	var l InstanceList
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	raw, err := c.get(ctx, InstancesPath)
	if err != nil {
		return l, err
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return l, jyfault.New("read instances", Malformed, "%w", err)
	}
	return l, nil
}

// get returns the body of the answer, cut off at one byte over jynote.MaxNoteBytes, so that a longer note is refused for its size.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	const op = "read platform"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, jyfault.New(op, Malformed, "%w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, jyfault.New(op, Unreachable, "%w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, jynote.MaxNoteBytes+1))
	if err != nil {
		return nil, jyfault.New(op, Unreachable, "%w", err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, jyfault.New(op, Missing, "%s", path)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, jyfault.New(op, Unreachable, "status %d", resp.StatusCode)
	}
	return raw, nil
}

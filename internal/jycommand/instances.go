package jycommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
)

const queryTimeout = 3 * time.Second // of a query of one instance

func instancesFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "instances", Usage: "operator `ADDRESSES` of instances, such as 127.0.0.1:9180", Required: true}
}

// instanceReply is the document that one instance returned, or the error of the query.
type instanceReply[T any] struct {
	address string
	value   T
	err     error
}

// queryAll reads a JSON document from all instances concurrently. The replies are in the order of addresses.
func queryAll[T any](ctx context.Context, addresses []string, path string) []instanceReply[T] {
	out := make([]instanceReply[T], len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			out[i].address = a
			out[i].err = query(ctx, a, path, &out[i].value)
		})
	}
	wg.Wait()
	return out
}

// query reads the JSON document at a path of an instance's operator address into v.
func query(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if !strings.HasPrefix(address, "http") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", address, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

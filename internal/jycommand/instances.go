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

const askTimeout = 3 * time.Second

func instancesFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "instances", Usage: "operator `ADDRESSES` of instances, such as 127.0.0.1:9180", Required: true}
}

// answered is what one instance answered, or the error of asking it.
type answered[T any] struct {
	address string
	value   T
	err     error
}

// askAll reads a JSON document from all instances at once, in the order of their addresses.
func askAll[T any](ctx context.Context, addresses []string, path string) []answered[T] {
	out := make([]answered[T], len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			out[i].address = a
			out[i].err = ask(ctx, a, path, &out[i].value)
		})
	}
	wg.Wait()
	return out
}

func ask(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

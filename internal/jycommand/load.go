package jycommand

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jyload"
)

var errLoadGuaranteeBroken = errors.New("an answer or a count broke a guarantee")

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load to instances and check each answer against its request; exit code 1 if a guarantee was broken",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entries", Usage: "`URLS` of instances, used in turn", Required: true},
			&cli.StringSliceFlag{Name: "paths", Usage: "request `PATHS`, used in turn", Required: true},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second", Value: 100},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.FloatFlag{Name: "writes", Usage: "share of non-idempotent requests"},
			&cli.FloatFlag{Name: "plain", Usage: "share of the non-idempotent requests that are sent without request id"},
			&cli.IntFlag{Name: "resends", Usage: "how often a request with unknown outcome is sent again", Value: 2},
			&cli.StringSliceFlag{Name: "servers", Usage: "`ADDRESSES` of stand-in backend servers whose counts are checked"},
			&cli.IntFlag{Name: "callers", Value: 100},
			&cli.IntFlag{Name: "body", Usage: "size of a non-idempotent request's body in bytes", Value: 200},
			&cli.IntFlag{Name: "in-flight", Usage: "bound on requests in progress", Value: 2000},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			result, err := jyload.Run(ctx, jyload.Config{
				Entries: c.StringSlice("entries"), Paths: c.StringSlice("paths"), Rate: c.Float("rate"), Duration: c.Duration("duration"),
				WriteShare: c.Float("writes"), NoRequestIDShare: c.Float("plain"), Resends: int(c.Int("resends")), Servers: c.StringSlice("servers"),
				Callers: int(c.Int("callers")), BodySize: int(c.Int("body")), MaxInFlight: int(c.Int("in-flight")), Timeout: c.Duration("timeout"),
			})
			if err != nil {
				return err
			}
			if c.Bool("json") {
				if err := json.NewEncoder(c.Root().Writer).Encode(result); err != nil {
					return err
				}
			} else {
				result.WriteText(c.Root().Writer)
			}
			if !result.IsSafe() {
				return errLoadGuaranteeBroken
			}
			return nil
		},
	}
}

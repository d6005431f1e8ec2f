package jycommand

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jynode"
	"github.com/jackdawyard/jackdawyard/internal/jysettings"
)

// garbagePercent lets the heap of a node, which is small beside its machine, grow further between collections.
const garbagePercent = 400

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry instance until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "INI settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, faults, err := jysettings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			if len(faults) > 0 {
				return fmt.Errorf("%d faults in %s; the first is %s", len(faults), c.String("settings"), faults[0])
			}
			debug.SetGCPercent(garbagePercent)
			debug.SetMemoryLimit(settings.MemoryLimit)
			node, err := jynode.New(settings)
			if err != nil {
				return err
			}
			return node.Run(ctx)
		},
	}
}

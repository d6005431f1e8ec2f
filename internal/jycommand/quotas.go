package jycommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jyexperiment"
)

// quotasCommand returns the experiment about the quotas of client accounts.
func quotasCommand() *cli.Command {
	return &cli.Command{
		Name: "quotas", Usage: "compare ways to keep the quotas of client accounts over all instances",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "instances", Value: 53},
			&cli.IntFlag{Name: "seed", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return jyexperiment.WriteQuotaTable(c.Root().Writer, int(c.Int("instances")), uint64(c.Int("seed")))
		},
	}
}

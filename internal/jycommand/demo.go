package jycommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jydemo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet on loopback in one process, with a backend server that turns gray, and print what happens",
		Action: func(ctx context.Context, c *cli.Command) error {
			return jydemo.Run(ctx, c.Root().Writer)
		},
	}
}

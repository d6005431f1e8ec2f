package jycommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jysoak"
)

// maxPrintedViolations bounds the broken guarantees that are printed.
const maxPrintedViolations = 20

var errSoakGuaranteeBroken = errors.New("a guarantee was broken")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run instances as processes under random faults, and check the guarantees from outside",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.FloatFlag{Name: "minutes", Value: 0.5, Usage: "minutes with faults; 18 seconds without faults follow"},
			&cli.IntFlag{Name: "instances", Value: 4},
			&cli.IntFlag{Name: "servers", Value: 4, Usage: "number of backend servers of each of the two services"},
			&cli.FloatFlag{Name: "rate", Value: 60, Usage: "requests a second"},
			&cli.BoolFlag{Name: "revocations", Usage: "requests carry keys, which are taken away at times"},
			&cli.StringFlag{Name: "keep", Usage: "folder in which settings and logs are kept; without it they are deleted"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			folder := c.String("keep")
			if folder == "" {
				if folder, err = os.MkdirTemp("", "jackdawyard-soak"); err != nil {
					return err
				}
				defer func() { _ = os.RemoveAll(folder) }()
			} else if err := os.MkdirAll(folder, 0o700); err != nil {
				return err
			}
			record, err := jysoak.Run(ctx, jysoak.Config{
				Program: program, Folder: folder, Seed: c.Uint64("seed"), FaultDuration: time.Duration(c.Float("minutes") * float64(time.Minute)),
				Instances: int(c.Int("instances")), ServersPerService: int(c.Int("servers")), RequestRate: c.Float("rate"),
				Revocations: c.Bool("revocations"),
			})
			if err != nil {
				return err
			}
			return printSoak(c, record)
		},
	}
}

// printSoak prints a summary, and the plan and the violations if a guarantee was broken.
func printSoak(c *cli.Command, r jysoak.Record) error {
	w := c.Root().Writer
	byStatus := map[int]int{}
	for _, q := range r.Requests {
		byStatus[q.Status]++
	}
	fmt.Fprintf(w, "seed %d: %d steps, %d requests, %d runs; by status %v (0: no answer)\n",
		c.Uint64("seed"), len(r.Plan), len(r.Requests), len(r.Executions), byStatus)
	violations := jysoak.Check(r)
	if len(violations) == 0 {
		return nil
	}
	for _, s := range r.Plan {
		fmt.Fprintln(w, s)
	}
	for _, v := range violations[:min(len(violations), maxPrintedViolations)] {
		fmt.Fprintf(w, "BROKEN %s: %s\n", v.Guarantee, v.Detail)
	}
	fmt.Fprintf(w, "%d in all\n", len(violations))
	return errSoakGuaranteeBroken
}

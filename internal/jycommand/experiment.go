package jycommand

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jyexperiment"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure the fleet's decisions in virtual time and compare them with simpler policies",
		Commands: []*cli.Command{
			{
				Name: "detection", Usage: "measure the time to detect gray backend servers, and false ejections",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "seeds", Value: 100},
					&cli.DurationFlag{Name: "limit", Usage: "virtual time after which a fault counts as missed", Value: 2 * time.Minute},
					&cli.FloatFlag{Name: "server-days", Usage: "days of healthy operation, summed over servers, in which false ejections are counted"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return jyexperiment.WriteDetectionTable(c.Root().Writer, jyexperiment.DetectionOptions{
						Seeds: int(c.Int("seeds")), Limit: c.Duration("limit"), ServerDays: c.Float("server-days"),
					})
				},
			},
			{
				Name: "slots", Usage: "compare ways to share the slots of backend servers between instances",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "seeds", Value: 6},
					&cli.IntFlag{Name: "instances", Value: 15},
					&cli.DurationFlag{Name: "time", Usage: "virtual time of each run", Value: 20 * time.Second},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return jyexperiment.WriteSlotTable(c.Root().Writer, jyexperiment.SlotOptions{
						Seeds: int(c.Int("seeds")), Instances: int(c.Int("instances")), RunDuration: c.Duration("time"),
					})
				},
			},
			{
				Name: "placing", Usage: "compare ways to choose a backend server while servers turn gray, including one that knows which are gray",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "seeds", Value: 20},
					&cli.DurationFlag{Name: "time", Usage: "virtual time of each run", Value: time.Minute},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return jyexperiment.WritePlacementTable(c.Root().Writer, jyexperiment.PlacementOptions{
						Seeds:       int(c.Int("seeds")),
						RunDuration: c.Duration("time"),
					})
				},
			},
			{
				Name: "waiting", Usage: "compare what happens to requests while a service can't run all of them",
				Flags: []cli.Flag{&cli.IntFlag{Name: "seeds", Value: 2}},
				Action: func(_ context.Context, c *cli.Command) error {
					return jyexperiment.WriteWaitingTable(c.Root().Writer, jyexperiment.WaitingOptions{Seeds: int(c.Int("seeds"))})
				},
			},
			{
				Name: "distance", Usage: "compare ways to decide which requests are sent to other data centres, including one that knows all loads",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "seeds", Value: 4},
					&cli.DurationFlag{Name: "time", Usage: "virtual time of each run", Value: 45 * time.Second},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return jyexperiment.WriteDistanceTable(c.Root().Writer, jyexperiment.DistanceOptions{
						Seeds:       int(c.Int("seeds")),
						RunDuration: c.Duration("time"),
					})
				},
			},
			quotasCommand(),
			capacityCommand(),
		},
	}
}

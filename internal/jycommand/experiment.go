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
		Usage: "measure the fleet's decisions in virtual time, beside plain ways of deciding",
		Commands: []*cli.Command{
			{
				Name: "detection", Usage: "detection time and false ejections of gray backend servers",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "seeds", Value: 100},
					&cli.DurationFlag{Name: "limit", Usage: "virtual time after which a fault counts as missed", Value: 2 * time.Minute},
					&cli.FloatFlag{Name: "server-days", Usage: "healthy time in which false ejections are counted"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return jyexperiment.WriteDetectionTable(c.Root().Writer, jyexperiment.DetectionOptions{
						Seeds: int(c.Int("seeds")), Limit: c.Duration("limit"), ServerDays: c.Float("server-days"),
					})
				},
			},
			{
				Name: "slots", Usage: "ways of sharing the slots of targets between instances",
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
				Name: "placing", Usage: "ways of choosing a server while servers turn gray, beside one that knows which are",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "seeds", Value: 20},
					&cli.DurationFlag{Name: "time", Usage: "virtual time of each run", Value: time.Minute},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return jyexperiment.WritePlacementTable(c.Root().Writer, jyexperiment.PlacementOptions{Seeds: int(c.Int("seeds")), RunDuration: c.Duration("time")})
				},
			},
			capacityCommand(),
		},
	}
}

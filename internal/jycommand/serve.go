package jycommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jynode"
	"github.com/jackdawyard/jackdawyard/internal/jysettings"
)

const serveName = "serve"

// settingsVariable is the environment variable that names the settings file if the flag is absent.
const settingsVariable = "JACKDAWYARD_CONFIG"

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  serveName,
		Usage: "run one instance until SIGTERM, then shut it down gracefully",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "INI settings `FILE`", Required: true, Sources: cli.EnvVars(settingsVariable)},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, faults, err := jysettings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			if len(faults) > 0 {
				return fmt.Errorf("%d faults in %s; the first is %s", len(faults), c.String("settings"), faults[0])
			}
			debug.SetGCPercent(settings.HeapGrowthPercent)
			debug.SetMemoryLimit(settings.MemoryLimit)
			node, err := jynode.New(settings)
			if err != nil {
				return err
			}
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			if err := node.WatchSettings(c.String("settings"), reload); err != nil {
				return err
			}
			return node.Run(ctx)
		},
	}
}

package jycommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jynode"
)

const watchInterval = 500 * time.Millisecond

var errDisagree = errors.New("the instances do not agree on the release note in force")

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show which release note is in force where, and who is ejected by whom and why",
		Flags: []cli.Flag{
			instancesFlag(),
			&cli.BoolFlag{Name: "watch", Usage: "ask until all instances agree"},
			&cli.DurationFlag{Name: "for", Usage: "how long --watch asks", Value: time.Minute},
			&cli.Uint64Flag{Name: "number", Usage: "with --watch: wait for this release note or a later one"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			list := askAll[jynode.Status](ctx, c.StringSlice("instances"), jynode.PathStatus)
			end := time.Now().Add(c.Duration("for"))
			for c.Bool("watch") && !agree(list, c.Uint64("number")) && time.Now().Before(end) && ctx.Err() == nil {
				time.Sleep(watchInterval)
				list = askAll[jynode.Status](ctx, c.StringSlice("instances"), jynode.PathStatus)
			}
			if err := printStatus(c.Root().Writer, list, c.Bool("json")); err != nil {
				return err
			}
			if !agree(list, c.Uint64("number")) {
				return errDisagree
			}
			return nil
		},
	}
}

// agree reports whether all instances answered and have the same note in force.
func agree(list []answered[jynode.Status], least uint64) bool {
	for _, a := range list {
		if a.err != nil || a.value.Release.Digest != list[0].value.Release.Digest || a.value.Release.Number != list[0].value.Release.Number {
			return false
		}
		if uint64(a.value.Release.Number) < least {
			return false
		}
	}
	return true
}

func printStatus(w io.Writer, list []answered[jynode.Status], asJSON bool) error {
	if asJSON {
		values := make([]jynode.Status, 0, len(list))
		for _, a := range list {
			values = append(values, a.value)
		}
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(values)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "Instance\tDataCentre\tReady\tNumber\tDigest\tInProgress\tRequestIds\tMembers")
	for _, a := range list {
		if a.err != nil {
			fmt.Fprintf(t, "%s\t\tno answer: %v\n", a.address, a.err)
			continue
		}
		s := a.value
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%s\t%d\t%d\t%d\n",
			s.Instance, s.DataCentre, s.Ready, s.Release.Number, s.Release.Digest, s.InProgress, s.RequestIDs.Records, len(s.Members))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, a := range list {
		printDetails(w, a.value)
	}
	return nil
}

func printDetails(w io.Writer, s jynode.Status) {
	for _, r := range s.Release.Refused {
		fmt.Fprintf(w, "%s: note %d refused: %s\n", s.Instance, r.Number, r.Reason)
	}
	for _, r := range s.Release.Conflicts {
		fmt.Fprintf(w, "%s: note %d conflict: %s\n", s.Instance, r.Number, r.Reason)
	}
	for _, address := range s.Release.PeerConflicts {
		fmt.Fprintf(w, "%s: peer %s holds other content under the same number\n", s.Instance, address)
	}
	for _, v := range s.Services {
		for _, b := range v.Beliefs {
			if b.Doubted {
				fmt.Fprintf(w, "%s: %s %s is believed gray (chance %.3f), load %d, unused for %.1f s\n",
					s.Instance, v.Service, b.Server, b.GrayChance, b.Load, b.UnusedSeconds)
			}
		}
		for _, b := range v.Servers {
			fmt.Fprintf(w, "%s: %s %s is %s by %s, cause %s, score %.1f, %.0f s left; %d of %d slots in use, floor %d\n",
				s.Instance, v.Service, b.Server, b.Phase, b.By, b.Cause, b.Score, b.RemainingSeconds, v.UsableSlots, v.AllSlots, v.Floor)
		}
	}
}

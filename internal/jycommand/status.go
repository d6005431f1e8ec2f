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

const statusPollInterval = 500 * time.Millisecond // between two polls of status --watch

var errNoteDiffers = errors.New("not all instances answered with the same release note, or with the required number")

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the release note that each instance has applied, and which backend servers are ejected, by whom and why",
		Flags: []cli.Flag{
			instancesFlag(),
			&cli.BoolFlag{Name: "watch", Usage: "poll until all instances have applied the same release note"},
			&cli.DurationFlag{Name: "for", Usage: "how long --watch polls", Value: time.Minute},
			&cli.Uint64Flag{Name: "number", Usage: "require this release note or a later one"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			list := queryAll[jynode.Status](ctx, c.StringSlice("instances"), jynode.PathStatus)
			end := time.Now().Add(c.Duration("for"))
			for c.Bool("watch") && !haveSameNote(list, c.Uint64("number")) && time.Now().Before(end) && ctx.Err() == nil {
				time.Sleep(statusPollInterval)
				list = queryAll[jynode.Status](ctx, c.StringSlice("instances"), jynode.PathStatus)
			}
			if err := printStatus(c.Root().Writer, list, c.Bool("json")); err != nil {
				return err
			}
			if !haveSameNote(list, c.Uint64("number")) {
				return errNoteDiffers
			}
			return nil
		},
	}
}

// haveSameNote reports whether all instances answered and have applied the same note, with a number of at least minNumber.
func haveSameNote(list []instanceReply[jynode.Status], minNumber uint64) bool {
	for _, a := range list {
		if a.err != nil || a.value.Release.Digest != list[0].value.Release.Digest || a.value.Release.Number != list[0].value.Release.Number {
			return false
		}
		if uint64(a.value.Release.Number) < minNumber {
			return false
		}
	}
	return true
}

func printStatus(w io.Writer, list []instanceReply[jynode.Status], asJSON bool) error {
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

// printAccounts prints the lease on keys and the client accounts with refused requests, those with the most requests first.
func printAccounts(w io.Writer, s jynode.Status) {
	if s.LeaseRemainingSeconds != nil {
		fmt.Fprintf(w, "%s: requests with keys are served for another %.1f s without news from the store\n", s.Instance, *s.LeaseRemainingSeconds)
	}
	if s.Accounts == nil {
		return
	}
	if s.Accounts.Heard < s.Accounts.Known {
		fmt.Fprintf(w, "%s: %d of %d instances that share quotas were heard within the last second\n", s.Instance, s.Accounts.Heard, s.Accounts.Known)
	}
	for _, a := range s.Accounts.Largest {
		if a.Refused > 0 {
			fmt.Fprintf(w, "%s: account %s has a quota of %g requests/s and a level of %.1f; %d requests admitted here, %d refused\n",
				s.Instance, a.Account, a.RequestsPerSecond, a.Level, a.Admitted, a.Refused)
		}
	}
}

func printDetails(w io.Writer, s jynode.Status) {
	printAccounts(w, s)
	for _, r := range s.Release.Refused {
		fmt.Fprintf(w, "%s: note %d refused: %s\n", s.Instance, r.Number, r.Reason)
	}
	for _, r := range s.Release.Conflicts {
		fmt.Fprintf(w, "%s: note %d conflict: %s\n", s.Instance, r.Number, r.Reason)
	}
	for _, address := range s.Release.PeerConflicts {
		fmt.Fprintf(w, "%s: peer %s has a note with the same number and different content\n", s.Instance, address)
	}
	for _, v := range s.Services {
		for _, b := range v.Beliefs {
			if b.Doubted {
				fmt.Fprintf(w, "%s: %s %s is believed gray (chance %.3f), load %d, unused for %.1f s\n",
					s.Instance, v.Service, b.Server, b.GrayChance, b.Load, b.UnusedSeconds)
			}
		}
		for _, l := range v.Limits {
			fmt.Fprintf(w, "%s: %s %s states a limit of %g requests/s, of which this instance may send %.3f\n",
				s.Instance, v.Service, l.Server, float64(l.PerSecond), float64(l.Share))
		}
		for _, e := range v.Elsewhere {
			fmt.Fprintf(w, "%s: %s may send %.3f of its requests to %s, which stated %g slots and load %g %.1f s ago\n",
				s.Instance, v.Service, e.Share, e.DataCentre, e.Slots, e.Load, e.AgeSeconds)
		}
		for _, b := range v.Servers {
			fmt.Fprintf(w, "%s: %s %s is %s by %s, cause %s, score %.1f, %.0f s left; %d of %d slots in use, floor %d\n",
				s.Instance, v.Service, b.Server, b.Phase, b.By, b.Cause, b.Score, b.RemainingSeconds, v.UsableSlots, v.AllSlots, v.Floor)
		}
	}
}

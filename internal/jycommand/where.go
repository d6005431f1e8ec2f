package jycommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jynode"
	"github.com/jackdawyard/jackdawyard/pkg/jyaccount"
	"github.com/jackdawyard/jackdawyard/pkg/jywhere"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

var (
	errTwoAccounts  = errors.New("where takes an account or a key file, not both")
	errKeyMalformed = errors.New("the key file holds no well-formed key")
	errNoWhere      = errors.New("not all instances answered")
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "explain where instances would send a request now, and why; nothing is sent to a backend server",
		Flags: []cli.Flag{
			instancesFlag(),
			&cli.StringFlag{Name: "host", Usage: "host of the request"},
			&cli.StringFlag{Name: "path", Usage: "path of the request", Value: "/"},
			&cli.StringFlag{Name: "method", Usage: "method of the request", Value: http.MethodGet},
			&cli.StringFlag{Name: "account", Usage: "name of the client account"},
			&cli.StringFlag{Name: "key-file", Usage: "file with the API key, or - for standard input; only its digest is sent"},
			&cli.Int64Flag{Name: "bytes", Usage: "bytes of the request's body"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := wherePath(c)
			if err != nil {
				return err
			}
			list := queryAll[jynode.Where](ctx, c.StringSlice("instances"), path)
			if err := printWhere(c.Root().Writer, list, c.Bool("json")); err != nil {
				return err
			}
			for _, a := range list {
				if a.err != nil {
					return errNoWhere
				}
			}
			return nil
		},
	}
}

// wherePath returns the path and query of the command's question. A key is replaced by its digest.
func wherePath(c *cli.Command) (string, error) {
	q := url.Values{}
	q.Set(jynode.WhereHost, c.String("host"))
	q.Set(jynode.WherePath, c.String("path"))
	q.Set(jynode.WhereMethod, c.String("method"))
	q.Set(jynode.WhereAccount, c.String("account"))
	q.Set(jynode.WhereBytes, strconv.FormatInt(c.Int64("bytes"), 10))
	if name := c.String("key-file"); name != "" {
		if c.String("account") != "" {
			return "", errTwoAccounts
		}
		digest, err := keyDigestOf(name)
		if err != nil {
			return "", err
		}
		q.Set(jynode.WhereDigest, digest)
	}
	return jynode.PathWhere + "?" + q.Encode(), nil
}

// keyDigestOf returns the digest of the key in the file, without the line end. Its errors don't contain the key.
func keyDigestOf(name string) (string, error) {
	raw, err := readFileOrStdin(name)
	if err != nil {
		return "", err
	}
	key := strings.TrimRight(string(raw), "\r\n")
	if !jyaccount.IsKey(key) {
		return "", errKeyMalformed
	}
	text, err := jyaccount.DigestOf(key).MarshalText()
	return string(text), err
}

func readFileOrStdin(name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func printWhere(w io.Writer, list []instanceReply[jynode.Where], asJSON bool) error {
	if asJSON {
		values := make([]jynode.Where, 0, len(list))
		for _, a := range list {
			if a.err == nil {
				values = append(values, a.value)
			}
		}
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(values)
	}
	for _, a := range list {
		if a.err != nil {
			fmt.Fprintf(w, "%s: no answer: %v\n", a.address, a.err)
			continue
		}
		printWhereHead(w, a.value)
		if err := printWhereServers(w, a.value.Servers); err != nil {
			return err
		}
	}
	return nil
}

func printWhereHead(w io.Writer, a jynode.Where) {
	decision := string(a.Decision)
	if a.Reason != "" {
		decision += ", " + string(a.Reason)
	}
	fmt.Fprintf(w, "%s in %s, configuration %d revision %d: %s\n", a.Instance, a.DataCentre, a.Number, a.Revision, decision)
	fmt.Fprintf(w, "  route %q to service %q, idempotent: %t, priority %d\n", a.Route, a.Service, a.Idempotent, a.Priority)
	for _, s := range a.OtherServices {
		fmt.Fprintf(w, "  the route is split: some requests go to service %q\n", s)
	}
	if a.PathLost {
		fmt.Fprintln(w, "  no connection to any server can be opened from here: the request goes through another instance")
	}
	if t := a.Account; t != nil {
		fmt.Fprintf(w, "  account %s, quota %g requests/s, burst %g%s\n", t.Name, t.RequestsPerSecond, t.Burst, levelText(t.Level))
	}
	for _, c := range a.Choices {
		fmt.Fprintf(w, "  %.1f%% to %s in %s: %s\n", 100*c.Chance, c.Server, c.DataCentre, c.Because)
	}
}

func levelText(level *float64) string {
	if level == nil {
		return ""
	}
	return fmt.Sprintf(", room for %.1f requests now", *level)
}

func printWhereServers(w io.Writer, list []jywhere.Server) error {
	if len(list) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  Server\tDataCentre\tFailChance\tLoad\tSlots\tWait\tDistance\tLoss\tTrial\tExclusion")
	for _, s := range list {
		fmt.Fprintf(t, "  %s\t%s\t%.3f\t%g\t%d\t%d ms\t%.3f\t%.3f\t%t\t%s\n",
			s.Server, s.DataCentre, s.FailChance, s.Load, s.Slots, s.ExpectedWaitMilliseconds, s.Distance, s.Loss, s.IsDueTrial, s.Exclusion)
	}
	return t.Flush()
}

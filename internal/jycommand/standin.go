package jycommand

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins for the platform, backend servers or the load balancer, on loopback addresses only",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "run a configuration service with a list of instances",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "address", Value: "127.0.0.1:7000"},
					&cli.StringFlag{Name: "instances", Usage: "JSON `FILE` with the list of instances"},
					&cli.StringFlag{Name: "notes", Usage: "`FOLDER` with release notes, published in the order of their names"},
				},
				Action: runPlatform,
			},
			{
				Name: "servers", Usage: "run backend servers on consecutive ports",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "name", Usage: "prefix of the servers' names", Value: "server"},
					&cli.StringFlag{Name: "first", Usage: "`ADDRESS` of the first one", Value: "127.0.0.1:21000"},
					&cli.IntFlag{Name: "count", Value: 1},
					&cli.IntFlag{Name: "slots", Value: 4},
					&cli.IntFlag{Name: "queue", Usage: "number of requests that may wait for a slot; more are shed", Value: 8},
					&cli.DurationFlag{Name: "latency", Value: 20 * time.Millisecond},
					&cli.FloatFlag{Name: "spread", Usage: "standard deviation of the latency's logarithm", Value: 0.3},
				},
				Action: runServers,
			},
			{
				Name: "balancer", Usage: "run a load balancer that passes connections to ready instances in turn",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "address", Value: "127.0.0.1:8000"},
					&cli.StringSliceFlag{Name: "instances", Usage: "`PAIRS` of caller address and operator address, such as 127.0.0.1:8081/127.0.0.1:9181", Required: true},
				},
				Action: runBalancer,
			},
		},
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	address, err := parseLoopback(c.String("address"))
	if err != nil {
		return err
	}
	p := jystandin.NewPlatform(address.String())
	if file := c.String("instances"); file != "" {
		if err := p.LoadInstances(file); err != nil {
			return err
		}
	}
	if folder := c.String("notes"); folder != "" {
		if err := publishNotes(p, folder); err != nil {
			return err
		}
	}
	return p.Run(ctx)
}

// publishNotes publishes the release notes of a folder in the order of their file names, up to the first invalid one.
func publishNotes(p *jystandin.Platform, folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return err
	}
	slices.Sort(files)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		note, err := jynote.Parse(raw)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		p.Publish(note.Number, raw)
	}
	return nil
}

func runServers(ctx context.Context, c *cli.Command) error {
	first, err := parseLoopback(c.String("first"))
	if err != nil {
		return err
	}
	kernel := jykernel.New()
	for i := range int(c.Int("count")) {
		name := fmt.Sprintf("%s-%d", c.String("name"), i+1)
		server := jystandin.NewBackendServer(jystandin.ServerConfig{
			Name: name, Address: netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String(),
			Slots: int(c.Int("slots")), QueueLimit: int(c.Int("queue")), Latency: c.Duration("latency"), LatencySigma: c.Float("spread"),
		})
		if err := kernel.Register(jykernel.Name(name), server); err != nil {
			return err
		}
	}
	return kernel.Run(ctx)
}

func runBalancer(ctx context.Context, c *cli.Command) error {
	address, err := parseLoopback(c.String("address"))
	if err != nil {
		return err
	}
	b, err := jystandin.NewBalancer(address.String(), c.StringSlice("instances"))
	if err != nil {
		return err
	}
	return b.Run(ctx)
}

// parseLoopback parses an address and port. It refuses addresses that other machines could reach.
func parseLoopback(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, err
	}
	if !a.Addr().IsLoopback() {
		return a, fmt.Errorf("%s is not a loopback address", text)
	}
	return a, nil
}

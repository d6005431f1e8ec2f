package jycommand

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jynode"
	"github.com/jackdawyard/jackdawyard/internal/jyreport"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show how fast each service uses up the error budget of its objective",
		Flags: []cli.Flag{
			instancesFlag(),
			&cli.StringFlag{Name: "html", Usage: "also write a self-contained page with plots to `FILE`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var reports []jyreport.Report
			for _, a := range queryAll[jyreport.Report](ctx, c.StringSlice("instances"), jynode.PathBurn) {
				if a.err != nil {
					fmt.Fprintf(os.Stderr, "%s: %v\n", a.address, a.err)
					continue
				}
				reports = append(reports, a.value)
			}
			merged := jyreport.Merge(reports)
			if file := c.String("html"); file != "" {
				if err := writeHTMLFile(file, merged); err != nil {
					return err
				}
			}
			return jyreport.WriteText(c.Root().Writer, merged)
		},
	}
}

func writeHTMLFile(file string, r jyreport.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := jyreport.WriteHTML(f, r); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

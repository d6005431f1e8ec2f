package jycommand

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jycapacity"
)

// generatedMarker is the line of the page that separates the handwritten part from the generated one.
const generatedMarker = "<!-- Generated below: see the command at the top. -->\n"

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "compute the cost at the target size from the output of `go test ./internal/jycapacity -run xxx -bench Slope` on standard input",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "page", Usage: "`FILE` in which the generated part is replaced, instead of printing it"},
			&cli.StringFlag{Name: "plots", Usage: "`FOLDER` for one plot of each slope"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			slopes, err := jycapacity.ParseBenchmarks(os.Stdin)
			if err != nil {
				return err
			}
			var page bytes.Buffer
			if err := jycapacity.WritePage(&page, slopes); err != nil {
				return err
			}
			if folder := c.String("plots"); folder != "" {
				if err := writePlots(folder, slopes); err != nil {
					return err
				}
			}
			if file := c.String("page"); file != "" {
				return replaceGenerated(file, page.String())
			}
			fmt.Fprint(c.Root().Writer, page.String())
			return nil
		},
	}
}

// writePlots writes one plot file for each slope.
func writePlots(folder string, slopes jycapacity.Fits) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, s := range slopes {
		var plot bytes.Buffer
		if err := jycapacity.WritePlot(&plot, s); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, jycapacity.PlotName(s)), plot.Bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// replaceGenerated replaces what follows generatedMarker in the file by text.
func replaceGenerated(file, text string) error {
	old, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	handWritten, _, found := strings.Cut(string(old), generatedMarker)
	if !found {
		return fmt.Errorf("%s has no line %q", file, strings.TrimSpace(generatedMarker))
	}
	return os.WriteFile(file, []byte(handWritten+generatedMarker+"\n"+text), 0o644)
}

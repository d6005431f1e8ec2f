package jycommand

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jysettings"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate files offline, with the checks that an instance makes; exit code 1 if there is a fault",
		Commands: []*cli.Command{
			{
				Name: "settings", Usage: "check settings files", ArgsUsage: "FILE...",
				Action: func(_ context.Context, c *cli.Command) error { return checkSettings(c.Root().Writer, c.Args().Slice()) },
			},
			{
				Name: "note", Usage: "check release notes, applied in the given order", ArgsUsage: "FILE...",
				Action: func(_ context.Context, c *cli.Command) error { return checkNotes(c.Root().Writer, c.Args().Slice()) },
			},
		},
	}
}

func checkSettings(w io.Writer, files []string) error {
	faultCount := 0
	for _, file := range files {
		_, faults, err := jysettings.Load(file)
		if err != nil {
			return err
		}
		for _, f := range faults {
			fmt.Fprintf(w, "%s: %s\n", file, f)
		}
		faultCount += len(faults)
	}
	return summarize(w, "settings", len(files), faultCount)
}

// checkNotes applies the notes in the given order, starting without any services, and prints the faults.
func checkNotes(w io.Writer, files []string) error {
	faultCount := 0
	var state jynote.State
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		note, err := jynote.Parse(raw)
		if err != nil {
			fmt.Fprintf(w, "%s: %v\n", file, err)
			faultCount++
			continue
		}
		next, faults := jynote.Apply(state, note, raw)
		for _, f := range faults {
			fmt.Fprintf(w, "%s: %s\n", file, f)
		}
		faultCount += len(faults)
		state = next
	}
	return summarize(w, "note", len(files), faultCount)
}

// summarize prints the number of files. It returns an error if there are no files or if there are faults.
func summarize(w io.Writer, kind string, files, faultCount int) error {
	if files == 0 {
		return fmt.Errorf("check %s: name at least one file", kind)
	}
	if faultCount > 0 {
		return fmt.Errorf("check %s: %d faults", kind, faultCount)
	}
	fmt.Fprintf(w, "%d files without faults\n", files)
	return nil
}

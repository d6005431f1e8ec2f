package jycommand

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jackdawyard/jackdawyard/internal/jyexplain"
)

var errNoRequest = errors.New("explain needs a request id and at least one log file")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the outcome of a request and the reason for it, from the logs of several instances",
		ArgsUsage: "REQUEST-ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) < 2 {
				return errNoRequest
			}
			var lines []jyexplain.Line
			for _, name := range args[1:] {
				part, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, part...)
			}
			return jyexplain.Write(c.Root().Writer, args[0], lines)
		},
	}
}

func readLog(name string) ([]jyexplain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return jyexplain.Read(name, file)
}

package jycommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
)

// Version is the version of this program.
const Version = "0.1.0"

// exitFailed is the exit code if the command returned an error.
const (
	exitFailed = 1
)

// Main runs the program and returns its exit code. args starts with the name of the program, as in os.Args.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out, diagnostics := jylog.NewWriter(os.Stdout), jylog.NewWriter(os.Stderr)
	defer out.Close()
	defer diagnostics.Close()
	defer klog.Flush()
	if err := rootCommand(out, diagnostics).Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "jackdawyard:", err)
		return exitFailed
	}
	return 0
}

// rootCommand returns the command with all subcommands. serve logs to out. The other commands print their results on standard
// output, so they log to diagnostics.
func rootCommand(out, diagnostics io.Writer) *cli.Command {
	return &cli.Command{
		Name:    "jackdawyard",
		Usage:   "a proxy fleet for backend servers with gray failures",
		Version: Version,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "quiet", Usage: "log alarms only"},
		},
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			if c.Args().First() == serveName {
				return ctx, setUpLog(out, c.Bool("quiet"))
			}
			return ctx, setUpLog(diagnostics, c.Bool("quiet"))
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), checkCommand(), statusCommand(), whereCommand(), reportCommand(), standinCommand(),
			explainCommand(), loadCommand(), soakCommand(), experimentCommand(), demoCommand(), documentCommand(), versionCommand(),
		},
	}
}

// setUpLog makes klog write each line to out, once. With quiet, only alarms are written.
func setUpLog(out io.Writer, quiet bool) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	klog.SetOutput(out)
	if quiet {
		klog.SetOutputBySeverity("INFO", discardWriter{})
	}
	return nil
}

type discardWriter struct{}

// Write discards the bytes.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			fmt.Fprintln(c.Root().Writer, Version)
			return nil
		},
	}
}

// Package command holds the commands of the lavendercourse program, one in a file.
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitRefused  = 3
	ExitUnknown  = 4
	ExitSettings = 5
)

// common is what all commands share.
type common struct {
	out     io.Writer
	errOut  io.Writer
	address string
	output  string
	file    string
}

func (c *common) logger() zerolog.Logger {
	return zerolog.New(c.errOut).With().Timestamp().Logger()
}

// Run runs the program with the given arguments and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	c := &common{out: out, errOut: errOut}
	root := newRoot(c)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		return exitCode(err)
	}
	return ExitOK
}

func newRoot(c *common) *cobra.Command {
	root := &cobra.Command{
		Use:           "lavendercourse",
		Short:         "Dispatcher for sub-second tasks",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.PersistentFlags().StringVar(&c.address, "address", "127.0.0.1:7100", "host and port of an entry")
	root.PersistentFlags().StringVar(&c.output, "output", "text", "text or json")
	root.PersistentFlags().StringVar(&c.file, "settings", "lavendercourse.ini", "settings file")
	root.AddCommand(newEntry(c), newAgent(c), newSubmit(c))
	return root
}

// exitError carries an exit code.
type exitError struct {
	code int
	text string
}

// Error returns the text of the error.
func (e exitError) Error() string { return e.text }

func exitCode(err error) int {
	if e, ok := err.(exitError); ok {
		return e.code
	}
	return ExitUsage
}

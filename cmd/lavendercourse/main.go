// Command lavendercourse is the dispatcher: its daemons and the commands of operators.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/command"
	"github.com/lavendercourse/lavendercourse/demo"
)

func main() {
	os.Exit(command.Run(command.Config{
		Args: os.Args[1:], In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Extra: []*cobra.Command{demo.NewCommand()},
	}))
}

// Command lavendercourse is the dispatcher: its daemons and the commands of operators.
package main

import (
	"os"

	"github.com/lavendercourse/lavendercourse/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command standin runs stand-ins for the platform's log service and the backend server.
package main

import (
	"os"

	"github.com/lavendercourse/lavendercourse/standin/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}

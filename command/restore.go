package command

import "github.com/spf13/cobra"

func newDomainRestoreCommand(g *globals) *cobra.Command {
	return newSetDomainCommand(g, "restore DOMAIN", "Bring a failure domain back into service", false)
}

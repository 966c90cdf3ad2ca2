package command

import "github.com/spf13/cobra"

func newRestore(c *common) *cobra.Command {
	return newSetDomain(c, "restore DOMAIN", "Bring a failure domain back into service", false)
}

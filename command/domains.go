package command

import (
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

type domainView struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
	Workers uint32 `json:"workers"`
	Running uint32 `json:"running"`
}

func newDomains(c *common) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the failure domains that the entry knows",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := c.within(cmd.Context())
			defer cancel()
			cl := newClient(c.address)
			resp, err := cl.operator().ListDomains(ctx, connect.NewRequest(&dispatchv1.ListDomainsRequest{}))
			if err != nil {
				return cl.fail(err, ExitUnreachable, "nothing was changed")
			}
			views, rows := []domainView{}, []string{}
			for _, d := range resp.Msg.GetDomains() {
				state := "serving"
				if d.GetDrained() {
					state = "drained"
				}
				views = append(views, domainView{Name: d.GetName(), Drained: d.GetDrained(), Workers: d.GetWorkers(), Running: d.GetRunning()})
				rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d", d.GetName(), state, d.GetWorkers(), d.GetRunning()))
			}
			return c.show(views, func(w io.Writer) { table(w, "DOMAIN\tSTATE\tWORKERS\tRUNNING", rows) })
		},
	}
}

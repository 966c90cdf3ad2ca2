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

func newDomainListCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the failure domains known to the entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			cl := newClient(g.address)
			resp, err := cl.operatorClient().ListDomains(ctx, connect.NewRequest(&dispatchv1.ListDomainsRequest{}))
			if err != nil {
				return cl.wrapError(err, ExitUnreachable, "nothing was changed")
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
			return g.printOutput(views, func(w io.Writer) { printTable(w, "DOMAIN\tSTATE\tWORKERS\tRUNNING", rows) })
		},
	}
}

package command

import (
	"fmt"
	"io"
	"sort"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

type workerView struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Rack    string `json:"rack"`
	Slots   uint32 `json:"slots"`
	Running uint32 `json:"running"`
	Window  uint32 `json:"window"`
	Health  string `json:"health"`
}

func newWorkersCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "workers",
		Short: "List the workers linked to the entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			cl := newClient(g.address)
			resp, err := cl.operatorClient().ListWorkers(ctx, connect.NewRequest(&dispatchv1.ListWorkersRequest{}))
			if err != nil {
				return cl.wrapError(err, ExitUnreachable, "nothing was changed")
			}
			workers := resp.Msg.GetWorkers()
			sort.Slice(workers, func(i, j int) bool { return workers[i].GetName() < workers[j].GetName() })
			views, rows := []workerView{}, []string{}
			for _, w := range workers {
				views = append(views, workerView{
					Name: w.GetName(), Region: w.GetRegion(), Domain: w.GetDomain(), Rack: w.GetRack(),
					Slots: w.GetSlots(), Running: w.GetRunning(), Window: w.GetWindow(), Health: w.GetHealth(),
				})
				rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s", w.GetName(), w.GetRegion(), w.GetDomain(),
					w.GetRack(), w.GetSlots(), w.GetRunning(), w.GetWindow(), w.GetHealth()))
			}
			return g.printOutput(views, func(w io.Writer) {
				printTable(w, "WORKER\tREGION\tDOMAIN\tRACK\tSLOTS\tRUNNING\tWINDOW\tHEALTH", rows)
			})
		},
	}
}

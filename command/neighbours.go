package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/gateway"
)

// maxNeighboursBody bounds the answer that is read, in bytes. 64 services of 16 kinds have 16,384 pairs of some 150 bytes.
const maxNeighboursBody = 4 << 20

func newNeighboursCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "neighbours",
		Short: "List the queues whose tasks slow each other down, from the metrics listener of a gateway",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			cl := newClient(g.address)
			n, err := cl.readNeighbours(ctx)
			if err != nil {
				return cl.wrapError(err, ExitUnreachable, "nothing was changed")
			}
			return g.printOutput(n, func(w io.Writer) { printNeighbours(w, n) })
		},
	}
}

// readNeighbours reads what a gateway knows of tasks that slow each other down.
func (c *client) readNeighbours(ctx context.Context) (gateway.Neighbours, error) {
	var n gateway.Neighbours
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+gateway.NeighboursPath, nil)
	if err != nil {
		return n, eris.Wrap(err, "request")
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return n, eris.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return n, eris.Errorf("status %s; --address has to name the metrics listener of a gateway", resp.Status)
	}
	return n, eris.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxNeighboursBody)).Decode(&n), "answer")
}

// printNeighbours writes the pairs as a table.
func printNeighbours(w io.Writer, n gateway.Neighbours) {
	if !n.Enabled {
		_, _ = fmt.Fprintln(w, "off: gateway.neighbours is off")
		return
	}
	rows := []string{}
	for _, p := range n.Pairs {
		apart := "no"
		if p.Apart {
			apart = fmt.Sprintf("for %d s", p.Since/1000)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%d\t%s",
			p.Service, p.Victim, p.Neighbour, p.Factor, p.Low, p.High, p.Orders, apart))
	}
	printTable(w, "SERVICE\tVICTIM\tNEIGHBOUR\tFACTOR\tLOW\tHIGH\tORDERS\tAPART", rows)
}

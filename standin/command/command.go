// Package command implements the commands of the standin program.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/standin/platform"
	"github.com/lavendercourse/lavendercourse/standin/worker"
)

// Run runs the program with the given arguments and returns its exit code.
func Run(args []string) int {
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for the platform and the backend server", SilenceUsage: true}
	root.AddCommand(newPlatform(), newWorker(), newBench(), newSoak())
	root.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if root.ExecuteContext(ctx) != nil {
		return 1
	}
	return 0
}

func newPlatform() *cobra.Command {
	var listen string
	var rate, retention int
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's log service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l := platform.New(platform.Config{Rate: rate, Retention: clock.Millis(retention)})
			r := mux.NewRouter()
			l.Register(r)
			r.HandleFunc("/faults", func(w http.ResponseWriter, req *http.Request) {
				var f platform.Faults
				if readJSON(w, req, &f) {
					l.SetFaults(f)
				}
			}).Methods(http.MethodPost)
			return serve(cmd.Context(), listen, r)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "host and port to listen on")
	cmd.Flags().IntVar(&rate, "rate", 400, "maximum number of appends per second")
	cmd.Flags().IntVar(&retention, "retention", 3_600_000, "time in ms for which records are kept")
	return cmd
}

func newWorker() *cobra.Command {
	var listen string
	var cfg worker.Config
	cmd := &cobra.Command{
		Use:   "worker",
		Short: "Run a stand-in for a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := worker.New(cfg)
			r := mux.NewRouter()
			w.Register(r)
			r.HandleFunc("/faults", func(rw http.ResponseWriter, req *http.Request) {
				var f worker.Faults
				if readJSON(rw, req, &f) {
					w.SetFaults(f)
				}
			}).Methods(http.MethodPost)
			r.HandleFunc("/journal", func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Content-Type", "application/json")
				_ = json.NewEncoder(rw).Encode(w.Journal())
			})
			return serve(cmd.Context(), listen, r)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7200", "host and port to listen on")
	cmd.Flags().StringVar(&cfg.Name, "name", "worker", "name of the worker")
	cmd.Flags().StringVar(&cfg.Domain, "domain", "", "failure domain of the worker")
	return cmd
}

func readJSON(w http.ResponseWriter, req *http.Request, v any) bool {
	if err := json.NewDecoder(req.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func serve(ctx context.Context, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listening on", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

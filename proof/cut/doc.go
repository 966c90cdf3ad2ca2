// Package cut holds a simulation of gateways, runners, workers and callers with cuts that hold data, pauses, restarts, and workers
// that refuse connections, leave or are replaced. It checks that no task runs on two workers at once, and that jobs are served and
// workers used again after the faults. It has only tests.
package cut

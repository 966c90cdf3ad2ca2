// Package cut holds a simulation of gateways, runners, workers and callers with cuts that hold data, pauses and restarts, which
// checks that no task runs on two workers at once and that jobs are served again after the faults. It has only tests.
package cut

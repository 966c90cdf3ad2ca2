// Command stage plays the cases of the review: it starts gateways and runners as processes beside stand-ins of the platform's store,
// the workers and the clients, and checks one rule by what clients and workers have seen.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// program is the program of the deploy file.
const program = "target/lavendercourse"

// errSetup is returned if a case could not run.
var errSetup = errors.New("the case could not run")

// play runs a case, with or without its disruption, and returns what broke the rule.
type play func(s *site, trouble bool) ([]string, error)

var cases = map[string]play{
	"cut":       playCut,
	"dropped":   playDropped,
	"forgotten": playForgotten,
	"recall":    playRecall,
	"replace":   playReplace,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that args name: stage CASE RECORD TROUBLE.
func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD 0|1")
		return exitNotRun
	}
	broken, err := runCase(cases[args[0]], args[1], args[2] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

func runCase(p play, record string, trouble bool) ([]string, error) {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	if os.Getenv("STAGE_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	l, err := newLedger(record)
	if err != nil {
		return nil, err
	}
	defer l.close()
	s, err := newSite(program, dir, l)
	if err != nil {
		return nil, err
	}
	broken, err := p(s, trouble)
	s.stop()
	if err != nil {
		l.note("not run: %v", err)
		return nil, err
	}
	for _, b := range broken {
		l.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) == 0 {
		l.note("the rule held")
		fmt.Println("the rule held")
	}
	return broken, nil
}

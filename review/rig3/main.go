// Command rig3 runs the cases of a review: the programs of the project as processes, with stand-ins for clients, workers and the store.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	errNotReady  = errors.New("the gateways did not become ready")
	errNoAck     = errors.New("a runner did not acknowledge that its worker drains")
	errNotServed = errors.New("requests were not served before the disruption")
)

// cases holds the deployment of each case and what is done to it. It returns whether the rule held.
var cases = map[string]struct {
	site siteConfig
	run  func(s *site, trouble bool) (bool, error)
}{
	"cut":    {siteConfig{gateways: 2, runners: 4, cuts: fromAll}, runCut},
	"cancel": {siteConfig{gateways: 2, runners: 4, cuts: fromCore, timeoutMs: int(longDeadline.Milliseconds())}, runCancel},
	"crowd":  {siteConfig{gateways: 4, runners: 11, labels: oneOfKind}, runCrowd},
	"leave":  {siteConfig{gateways: 2, runners: 4}, runLeave},
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/lavendercourse", "program of the project")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *out, os.Getenv("TROUBLE") != "0"))
}

func run(name, program, out string, trouble bool) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	keep := os.Getenv("KEEP") != ""
	if !keep {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	s, err := newSite(program, dir, rec, c.site)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		s.stop()
		rec.close()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	defer s.stop()
	held, err := c.run(s, trouble)
	switch {
	case err != nil:
		rec.logf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case !held:
		rec.logf("the rule was broken")
		return exitBroken
	}
	rec.logf("the rule held")
	return exitHeld
}

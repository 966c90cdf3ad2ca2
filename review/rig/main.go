// Command rig plays the cases of the review that are no days of a bench. It starts the project's programs as processes on
// loopback addresses, with stand-ins for clients, workers and the platform.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play plays a case, with its disruption or without it, and returns what broke the rule.
type play func(r *record, trouble bool) ([]string, error)

var plays = map[string]play{
	"cancel": playCancel,
	"kind":   playKind,
	"silent": playSilent,
	"cutoff": playCutoff,
}

// maxTime bounds a case. The processes end with the rig.
const maxTime = 110 * time.Second

func main() {
	// The kernel ends the processes when the thread that started them ends.
	runtime.LockOSThread()
	time.AfterFunc(maxTime, func() { os.Exit(exitFailed) })
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD, in the root of the repository")
		return exitFailed
	}
	file, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption %t", args[0], trouble)
	broken, err := plays[args[0]](r, trouble)
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	case len(broken) > 0:
		for _, b := range broken {
			r.printf("BROKEN: %s", b)
		}
		fmt.Printf("rule broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

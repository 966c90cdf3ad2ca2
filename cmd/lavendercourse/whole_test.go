package main_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const workerCount = 11

var domains = []string{"accra-1", "accra-2", "kumasi-1", "kumasi-2"}

// workerView holds the fields of listed workers and failure domains that steps wait for.
type workerView struct {
	Name            string
	Running, Window int
}

// system is the whole system as separate processes, and the transcript of the commands that were run against it.
type system struct {
	dir           string
	program       string
	entries       []*process
	callers       []string
	links         []string
	agents        []*process
	standins      []*process
	hangingSubmit *process
	transcript    strings.Builder
}

// Guards against commands and daemons that work alone but not together: wrong output or exit codes, requests that a
// graceful stop cuts off, and daemons that do not exit.
func TestWholeRun(t *testing.T) {
	// Without this, the race detector makes each command sleep for a second before it exits.
	t.Setenv("GORACE", "atexit_sleep_ms=0")
	s := &system{dir: t.TempDir()}
	s.build(t)
	s.start(t)
	for _, step := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"fleet", s.fleet},
		{"jobs", s.jobs},
		{"resubmission", s.resubmission},
		{"cancel", s.cancel},
		{"calls", s.calls},
		{"config", s.config},
		{"drain", s.drain},
		{"settings", s.settings},
		{"agent", s.stopAgent},
		{"entry", s.stopEntry},
	} {
		if step.name == "resubmission" {
			// The deadline (ms) leaves time to start on a busy machine. The test waits for the job only in
			// the drain step, after steps that use up that time.
			s.hangingSubmit, _ = s.background(t, 0, "submit", "--kind", "hang", "--deadline", "10000")
		}
		ok := t.Run(step.name, func(t *testing.T) {
			s.transcript.Reset()
			step.run(t)
			golden.Assert(t, s.transcript.String(), step.name+".golden")
		})
		if !ok {
			t.FailNow()
		}
	}
	s.stop(t)
}

// build builds both binaries once. The dispatcher is built with the race detector, which makes a process with a data
// race exit with code 66.
func (s *system) build(t *testing.T) {
	s.program = filepath.Join(s.dir, "lavendercourse")
	for _, args := range [][]string{
		{"build", "-race", "-o", s.program, "github.com/lavendercourse/lavendercourse/cmd/lavendercourse"},
		{"build", "-o", filepath.Join(s.dir, "standin"), "github.com/lavendercourse/lavendercourse/cmd/standin"},
	} {
		out, err := exec.Command("go", args...).CombinedOutput()
		assert.NilError(t, err, "%s", out)
	}
}

func (s *system) start(t *testing.T) {
	platform := s.startStandin(t, "platform")
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("e%d", i)
		path := s.writeFile(t, name+".ini", fmt.Sprintf("[place]\nregion = accra\ndomain = %s\n[entry]\nname = %s\n"+
			"callers = 127.0.0.1:0\nlinks = 127.0.0.1:0\n[platform]\naddress = %s\n[limits]\nkeep = 3600000\n",
			domains[i-1], name, platform))
		p := start(t, name, s.program, "entry", "--settings", path)
		found := p.awaitOutput(t, `process started".*"callers":"([^"]+)","links":"([^"]+)"`)
		s.entries, s.callers, s.links = append(s.entries, p), append(s.callers, found[0]), append(s.links, found[1])
	}
	for i := range workerCount {
		name, domain := fmt.Sprintf("w%02d", i+1), domains[i/3]
		worker := s.startStandin(t, "worker", "--name", name, "--domain", domain)
		path := s.writeFile(t, name+".ini", fmt.Sprintf("[place]\nregion = accra\ndomain = %s\nrack = %s-rack\n"+
			"[agent]\nname = %s\nentries = %s\nworker = %s\nmemory = 64000\ncores = 32\n",
			domain, domain, name, strings.Join(s.links, ", "), worker))
		s.agents = append(s.agents, start(t, name, s.program, "agent", "--settings", path))
	}
}

func (s *system) startStandin(t *testing.T, args ...string) string {
	p := start(t, strings.Join(args, " "), filepath.Join(s.dir, "standin"), append(args, "--listen", "127.0.0.1:0")...)
	s.standins = append(s.standins, p)
	return p.awaitOutput(t, `listening on (\S+)\n`)[0]
}

func (s *system) writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(s.dir, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// stop stops all processes that still run and checks that each exited with code 0.
func (s *system) stop(t *testing.T) {
	for _, p := range append(append([]*process{}, s.agents...), s.entries...) {
		// Signalling a process that has exited already returns an error.
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		assert.Equal(t, p.exitCode(t), 0, p.name)
		assert.Assert(t, !strings.Contains(p.read("err"), "part of the process failed"), p.name)
	}
	for _, p := range s.standins {
		p.terminate(t)
		assert.Equal(t, p.exitCode(t), 0, p.name)
	}
}

// run runs a command through an entry and adds it to the transcript.
func (s *system) run(t *testing.T, entry int, in string, args ...string) string {
	t.Helper()
	var out, errOut strings.Builder
	cmd := exec.Command(s.program, append(args, "--address", s.callers[entry])...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(in), &out, &errOut
	// The exit code is part of the transcript.
	_ = cmd.Run()
	s.appendTranscript(entry, args, cmd.ProcessState.ExitCode(), out.String(), errOut.String())
	return out.String()
}

func (s *system) appendTranscript(entry int, args []string, code int, out, errOut string) {
	text := fmt.Sprintf("$ lavendercourse %s (e%d)\n%s%s= %d\n", strings.Join(args, " "), entry+1, out, prefixLines(errOut), code)
	s.transcript.WriteString(s.normalize(text))
}

func prefixLines(errOut string) string {
	if errOut == "" {
		return ""
	}
	return "! " + strings.ReplaceAll(strings.TrimSuffix(errOut, "\n"), "\n", "\n! ") + "\n"
}

var (
	jobIDPattern    = regexp.MustCompile(`[a-z2-7]{16}\.[0-9]+\.[a-z2-7]{8}`)
	portPattern     = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)
	agePattern      = regexp.MustCompile(`confirmed [0-9]+ ms ago`)
	revisionPattern = regexp.MustCompile(`lavendercourse \S+ \S* ?go\S+`)
)

// normalize replaces text that differs between runs, such as ids and ports, by placeholders.
func (s *system) normalize(text string) string {
	text = strings.ReplaceAll(text, s.dir, "DIR")
	text = jobIDPattern.ReplaceAllString(text, "ID")
	text = portPattern.ReplaceAllString(text, "ADDRESS")
	text = agePattern.ReplaceAllString(text, "confirmed N ms ago")
	return revisionPattern.ReplaceAllString(text, "lavendercourse VERSION")
}

// query runs a command without the transcript and decodes its JSON.
func (s *system) query(entry int, v any, args ...string) bool {
	out, _ := exec.Command(s.program, append(args, "--address", s.callers[entry], "--output", "json")...).Output()
	return json.Unmarshal(out, v) == nil
}

// background starts a command through an entry, and returns it with the id of its job.
func (s *system) background(t *testing.T, entry int, args ...string) (*process, string) {
	p := start(t, strings.Join(args, " "), s.program, append(args, "--address", s.callers[entry])...)
	return p, p.awaitOutput(t, `job (\S+) is submitted`)[0]
}

// awaitCommand waits for a command in the background and adds it to the transcript.
func (s *system) awaitCommand(t *testing.T, p *process, entry int) {
	exitCode := p.exitCode(t)
	s.appendTranscript(entry, p.cmd.Args[1:len(p.cmd.Args)-2], exitCode, p.read("out"), p.read("err"))
}

// awaitStarted waits until the given number of tasks of a job have started.
func (s *system) awaitStarted(t *testing.T, entry int, id string, n int) {
	waitFor(t, "tasks of "+id+" start", func() bool {
		var status struct{ Running, Finished int }
		return s.query(entry, &status, "status", id) && status.Running+status.Finished >= n
	})
}

// awaitVersion waits until an entry has a version of the configuration.
func (s *system) awaitVersion(t *testing.T, entry, version int) {
	waitFor(t, fmt.Sprintf("e%d has version %d", entry+1, version), func() bool {
		var config struct{ Version int }
		return s.query(entry, &config, "config", "get") && config.Version >= version
	})
}

// awaitIdle waits until an entry reports no running task.
func (s *system) awaitIdle(t *testing.T, entry int) {
	waitFor(t, "no task runs", func() bool {
		var list []workerView
		return s.query(entry, &list, "domain", "list") && !slices.ContainsFunc(list, func(d workerView) bool { return d.Running > 0 })
	})
}

func (s *system) fleet(t *testing.T) {
	for i := range s.entries {
		waitFor(t, "all workers have told their window", func() bool {
			var list []workerView
			return s.query(i, &list, "workers") && len(list) == workerCount &&
				!slices.ContainsFunc(list, func(w workerView) bool { return w.Window != 8 })
		})
	}
	s.run(t, 0, "", "workers")
	s.run(t, 1, "", "domain", "list")
	s.run(t, 2, "", "domain", "list", "--output", "json")
	s.run(t, 0, "", "config", "get")
	s.run(t, 0, "", "version")
}

func (s *system) jobs(t *testing.T) {
	// The first job waits until every entry holds its quorum lease and has read the configuration.
	for i := range s.entries {
		waitFor(t, fmt.Sprintf("e%d takes jobs", i+1), func() bool {
			var resp struct{ Verdict struct{ Outcome string } }
			return s.query(i, &resp, "submit", "--kind", "sleep", "--payload", "1") && resp.Verdict.Outcome == "complete"
		})
	}
	s.run(t, 0, "", "submit", "--team", "proofs", "--class", "quick", "--kind", "sleep", "--payload", "50 ms", "--tasks", "3")
	s.run(t, 1, "", "submit", "--kind", "sleep", "--payload", "5", "--output", "json")
	s.run(t, 2, "[job]\nteam = layouts\n[task]\nkind = sleep\npayload = 10 a\ncount = 2\n[task]\nkind = sleep\npayload = 10 b\n", "submit", "-")
	s.run(t, 0, `{"tasks": [{"kind": "sleep", "payload": "10"}, {"kind": "fail"}]}`, "submit", "-", "--deadline", "60000")
	s.run(t, 0, `{"tasks": [{"kind": "sleep", "memory": 1000000}]}`, "submit", "-")
	s.run(t, 0, "[task]\nkind = sleep\nmemroy = 1\n", "submit", "-")
	s.run(t, 0, "", "submit", "--kind", "sleep", "--tasks", "1101")
}

func (s *system) resubmission(t *testing.T) {
	id := jobIDPattern.FindString(s.run(t, 0, "", "submit", "--kind", "sleep", "--payload", "20", "--tasks", "2"))
	s.run(t, 1, "", "submit", "--kind", "sleep", "--payload", "20", "--tasks", "2", "--id", id)
	s.run(t, 2, "", "submit", "--kind", "sleep", "--payload", "21", "--tasks", "2", "--id", id)
	s.run(t, 2, "", "status", id)
	s.run(t, 1, "", "status", id, "--output", "json")
	s.run(t, 1, "", "cancel", id)
	s.run(t, 1, "", "status", id[:len(id)-8]+"aaaaaaaa")
	s.run(t, 0, "", "status", "malformed")
}

func (s *system) cancel(t *testing.T) {
	p, id := s.background(t, 0, "submit", "--kind", "hang", "--tasks", "2")
	s.awaitStarted(t, 1, id, 2)
	s.run(t, 1, "", "status", id)
	s.run(t, 2, "", "cancel", id)
	s.awaitCommand(t, p, 0)
	s.run(t, 1, "", "status", id)
	s.run(t, 1, "", "cancel", id, "--output", "json")
}

func (s *system) calls(t *testing.T) {
	s.run(t, 0, "", "call", "--kind", "sleep", "--payload", "10 once")
	s.run(t, 1, "", "call", "--kind", "sleep", "--payload", "10 twice", "--idempotent")
	s.run(t, 2, "", "call", "--kind", "sleep", "--payload", "5", "--output", "json")
	s.run(t, 0, "", "call", "--payload", "5")
	var resp struct {
		Verdict struct{ Outcome, Reason, Ran string }
	}
	assert.Assert(t, s.query(0, &resp, "call", "--kind", "fail"))
	assert.Equal(t, fmt.Sprintf("%+v", resp.Verdict), "{Outcome:failed Reason:task Ran:some}")
}

func (s *system) config(t *testing.T) {
	s.run(t, 0, "", "config", "publish", "team.proofs.quota", "40")
	s.run(t, 1, "", "config", "publish", "team.proofs.weight", "3", "--output", "json")
	s.run(t, 0, "", "config", "publish", "team.proofs.quota", "50", "--base", "0")
	s.awaitVersion(t, 2, 2)
	s.run(t, 2, "", "config", "publish", "team.proofs.quota", "60")
	s.run(t, 0, "", "config", "publish", "team.proofs.quota", "70", "--force", "--id", "change-1")
	s.run(t, 0, "", "config", "publish", "team.proofs.quota", "70", "--force", "--id", "change-1")
	s.run(t, 0, "", "config", "publish", "team.proofs.colour", "red")
	for i := range s.entries {
		s.awaitVersion(t, i, 4)
	}
	s.run(t, 1, "", "config", "get")
	s.run(t, 1, "", "config", "get", "team.proofs.quota")
	s.run(t, 1, "", "config", "get", "team.other.quota")
	s.run(t, 2, "", "config", "history")
	s.run(t, 2, "", "config", "history", "--count", "1", "--output", "json")
}

func (s *system) drain(t *testing.T) {
	s.awaitCommand(t, s.hangingSubmit, 0)
	s.run(t, 0, "", "domain", "drain", "accra-2")
	for i := range s.entries {
		s.awaitVersion(t, i, 5)
		s.awaitIdle(t, i)
	}
	s.run(t, 1, "", "domain", "list")
	s.run(t, 2, "", "submit", "--kind", "sleep", "--payload", "20", "--tasks", "2")
	s.run(t, 1, "", "domain", "restore", "accra-2")
	s.awaitVersion(t, 2, 6)
	s.awaitIdle(t, 2)
	s.run(t, 2, "", "domain", "list", "--output", "json")
	s.run(t, 2, "", "domain", "drain", "Accra")
}

func (s *system) settings(t *testing.T) {
	wrong := s.writeFile(t, "wrong.ini", "[Place]\nregion = accra\n[entry]\nname = e9\nseeds = here\nport = 1\n[slot]\nlease = 1\n")
	s.run(t, 0, "", "settings", "check", "--settings", wrong)
	s.run(t, 0, "", "entry", "--settings", wrong)
	s.run(t, 0, "", "agent", "--settings", wrong)
	s.run(t, 0, "", "settings", "check", "--settings", filepath.Join(s.dir, "w01.ini"))
	s.run(t, 0, "", "settings", "check", "--settings", filepath.Join(s.dir, "none.ini"), "--output", "json")
}

// stopAgent stops an agent while its worker runs tasks of a job, which must still become complete.
func (s *system) stopAgent(t *testing.T) {
	p, id := s.background(t, 0, "submit", "--kind", "sleep", "--payload", "5000", "--tasks", "80")
	leaving := s.agents[7]
	waitFor(t, "the leaving worker runs tasks", func() bool {
		var list []workerView
		return s.query(0, &list, "workers") &&
			slices.ContainsFunc(list, func(w workerView) bool { return w.Name == leaving.name && w.Running > 0 })
	})
	leaving.terminate(t)
	assert.Equal(t, leaving.exitCode(t), 0)
	s.awaitCommand(t, p, 0)
	s.run(t, 1, "", "status", id)
	waitFor(t, "the worker has left the list", func() bool {
		var list []workerView
		return s.query(2, &list, "workers") && len(list) == workerCount-1
	})
}

// stopEntry stops an entry that owns two jobs: one runs to its end, the other keeps the entry up until it is cancelled.
func (s *system) stopEntry(t *testing.T) {
	hanging, id := s.background(t, 2, "submit", "--kind", "hang")
	s.awaitStarted(t, 2, id, 1)
	finishing, other := s.background(t, 2, "submit", "--kind", "sleep", "--payload", "2000", "--tasks", "8")
	s.awaitStarted(t, 2, other, 1)
	s.entries[2].terminate(t)
	s.entries[2].awaitOutput(t, "process is stopping")
	s.run(t, 2, "", "submit", "--kind", "sleep")
	s.run(t, 2, "", "call", "--kind", "sleep")
	s.run(t, 0, "", "submit", "--kind", "sleep", "--payload", "10")
	s.awaitCommand(t, finishing, 2)
	s.run(t, 2, "", "cancel", id)
	s.awaitCommand(t, hanging, 2)
	assert.Equal(t, s.entries[2].exitCode(t), 0)
	s.run(t, 2, "", "submit", "--kind", "sleep")
	s.run(t, 1, "", "submit", "--kind", "sleep", "--payload", "10")
}

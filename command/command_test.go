package command

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

func runProgram(stdin string, args ...string) (code int, out, errOut string) {
	var outBuf, errBuf bytes.Buffer
	code = Run(Config{Args: args, In: strings.NewReader(stdin), Out: &outBuf, Err: &errBuf})
	return code, outBuf.String(), errBuf.String()
}

// Guards against a command or an exit code that docs/commands.md does not describe.
func TestCommandsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/commands.md")
	assert.NilError(t, err)
	var visit func(cmd *cobra.Command)
	visit = func(cmd *cobra.Command) {
		if cmd.HasSubCommands() {
			for _, sub := range cmd.Commands() {
				visit(sub)
			}
			return
		}
		row := "| `" + cmd.CommandPath()
		assert.Assert(t, strings.Contains(string(page), row+" ") || strings.Contains(string(page), row+"`"), cmd.CommandPath())
	}
	visit(newRootCommand(&globals{}))
	for code := ExitOK; code <= ExitUnreachable; code++ {
		assert.Assert(t, strings.Contains(string(page), fmt.Sprintf("\n| %d | ", code)))
	}
}

// Guards against an error that has a wrong exit code, is longer than one line or does not say that nothing was run.
func TestExitCodesWithoutAnEntry(t *testing.T) {
	job := filepath.Join(t.TempDir(), "job.ini")
	assert.NilError(t, os.WriteFile(job, []byte("[job]\nclass = urgent\n[task]\nkind = x\n"), 0o600))
	for _, c := range []struct {
		name string
		args string
		code int
	}{
		{"unknown command", "bogus", ExitUsage},
		{"unknown subcommand", "config bogus", ExitUsage},
		{"group without subcommand", "domain", ExitUsage},
		{"missing argument", "status", ExitUsage},
		{"unknown flag", "submit --bogus", ExitUsage},
		{"invalid output format", "workers --output yaml", ExitUsage},
		{"invalid timeout", "workers --timeout 0s", ExitUsage},
		{"task without kind", "submit", ExitUsage},
		{"too many tasks", "submit --kind x --tasks 1101", ExitUsage},
		{"negative task count", "submit --kind x --tasks -1", ExitUsage},
		{"invalid class in file", "submit " + job, ExitUsage},
		{"job file and task flag", "submit " + job + " --kind x", ExitUsage},
		{"mutually exclusive flags", "config publish a b --base 1 --force", ExitUsage},
		{"submit", "submit --kind x", ExitUnreachable},
		{"call", "call --kind x", ExitUnreachable},
		{"cancel", "cancel a.0.b", ExitUnreachable},
		{"status", "status a.0.b", ExitUnreachable},
		{"publish", "config publish domain.a drained", ExitUnreachable},
		{"drain", "domain drain a", ExitUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, errOut := runProgram("", append(strings.Fields(c.args), "--address", "127.0.0.1:1")...)
			assert.Equal(t, code, c.code, errOut)
			assert.Equal(t, out, "")
			assert.Equal(t, strings.Count(errOut, "\n"), 1, errOut)
			assert.Assert(t, strings.Contains(errOut, "nothing was run") || strings.Contains(errOut, "had nothing run"), errOut)
		})
	}
}

// Guards against an outcome that leads to a wrong exit code or to a text that says wrongly whether the job ran.
func TestVerdictError(t *testing.T) {
	for _, c := range []struct {
		outcome  dispatchv1.Outcome
		ran      dispatchv1.Ran
		code     int
		wantText string
	}{
		{dispatchv1.Outcome_OUTCOME_FAILED, dispatchv1.Ran_RAN_SOME, ExitFailed, "may have run"},
		{dispatchv1.Outcome_OUTCOME_FAILED, dispatchv1.Ran_RAN_NOTHING, ExitFailed, "nothing was run"},
		{dispatchv1.Outcome_OUTCOME_REFUSED, dispatchv1.Ran_RAN_NOTHING, ExitRefused, "not run"},
		{dispatchv1.Outcome_OUTCOME_UNKNOWN, dispatchv1.Ran_RAN_SOME, ExitUnknown, "may have run"},
		{dispatchv1.Outcome_OUTCOME_UNKNOWN, dispatchv1.Ran_RAN_NOTHING, ExitUnknown, "this request had nothing run"},
		{dispatchv1.Outcome_OUTCOME_UNSPECIFIED, dispatchv1.Ran_RAN_UNSPECIFIED, ExitUnknown, "may have run"},
	} {
		code, text := exitCodeAndText(verdictError("job a", &dispatchv1.Verdict{Outcome: c.outcome, Ran: c.ran}))
		assert.Equal(t, code, c.code)
		assert.Assert(t, strings.Contains(text, c.wantText), text)
	}
	assert.NilError(t, verdictError("job a", &dispatchv1.Verdict{Outcome: dispatchv1.Outcome_OUTCOME_COMPLETE}))
}

// Guards against INI and JSON job files with the same content that lead to different jobs, against flags that do not
// override the file, and against invalid files that are accepted.
func TestJobFiles(t *testing.T) {
	ini := "[job]\nteam = t\nclass = quick\ndeadline = 500\n[task]\nkind = a\npayload = 1\ncount = 2\n[task]\nkind = b\nmemory = 5\n"
	json := `{"team": "t", "class": "quick", "deadline": 500, "tasks": [{"kind": "a", "payload": "1", "count": 2}, {"kind": "b", "memory": 5}]}`
	for _, text := range []string{ini, json} {
		f := jobFlags{job: jobSpec{Team: "flag", Class: "batch"}}
		req, err := f.request([]string{"-"}, strings.NewReader(text), func(flag string) bool { return flag == "team" })
		assert.NilError(t, err)
		assert.Equal(t, req.GetTeam(), "flag")
		assert.Equal(t, req.GetClass(), dispatchv1.Class_CLASS_QUICK)
		assert.Equal(t, req.GetDeadlineMs(), uint32(500))
		assert.Equal(t, len(req.GetTasks()), 3)
		assert.Equal(t, string(req.GetTasks()[1].GetPayload()), "1")
		assert.Equal(t, req.GetTasks()[2].GetMemoryMb(), uint32(5))
	}
	for _, bad := range []string{"x = 1\n", "[jobs]\n", "[job]\ntema = x\n", "[task]\nkind = a\ncount = many\n", `{"tema": 1}`, "{", ""} {
		_, err := (&jobFlags{job: jobSpec{Team: "t", Class: "batch"}}).request([]string{"-"}, strings.NewReader(bad), func(string) bool { return false })
		assert.Assert(t, err != nil, bad)
	}
}

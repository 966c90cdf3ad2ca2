package lavendercourse_test

import (
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/lavendercourse/lavendercourse"

// Guards against product code that depends on stand-ins, directly or through another package. Only the demo, the mains
// and the stand-ins themselves may.
func TestProductDoesNotImportStandins(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}:{{join .Deps " "}}`, module+"/...").Output()
	assert.NilError(t, err)
	packages := 0
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		name, deps, _ := strings.Cut(line, ":")
		packages++
		if name == module+"/demo" || strings.HasPrefix(name, module+"/cmd/") || strings.HasPrefix(name, module+"/standin/") {
			continue
		}
		for _, dep := range strings.Fields(deps) {
			assert.Assert(t, !strings.HasPrefix(dep, module+"/standin/"), "%s depends on %s", name, dep)
		}
	}
	assert.Assert(t, packages > 20, "only %d packages were checked", packages)
}

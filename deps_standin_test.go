package lavendercourse_test

import (
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const modulePath = "github.com/lavendercourse/lavendercourse"

// Guards against product code that depends on stand-ins, directly or through another package. Only the demo, the main
// packages under cmd and the stand-ins themselves may import them.
func TestProductDoesNotImportStandins(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}:{{join .Deps " "}}`, modulePath+"/...").Output()
	assert.NilError(t, err)
	packages := 0
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		name, deps, _ := strings.Cut(line, ":")
		packages++
		if name == modulePath+"/demo" || strings.HasPrefix(name, modulePath+"/cmd/") || strings.HasPrefix(name, modulePath+"/standin/") {
			continue
		}
		for _, dep := range strings.Fields(deps) {
			assert.Assert(t, !strings.HasPrefix(dep, modulePath+"/standin/"), "%s depends on %s", name, dep)
		}
	}
	assert.Assert(t, packages > 20, "only %d packages were checked", packages)
}

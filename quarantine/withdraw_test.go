package quarantine_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/quarantine"
)

// Guards against a crash that counts as explained by a common cause although the other crashes were withdrawn.
func TestWithdrawnCrashesAreNoCommonCause(t *testing.T) {
	l := quarantine.NewLedger()
	l.Record(100, 0, crashID(0), []quarantine.Suspect{{Task: task("bad"), Age: runAge}}, workers)
	for i := 1; i <= 3; i++ {
		l.Record(110, 0, crashID(i), []quarantine.Suspect{{Task: task(fmt.Sprint("good", i)), Age: 200}}, workers)
	}
	for i := 1; i <= 3; i++ {
		l.Withdraw(crashID(i))
	}
	assert.Assert(t, !l.Participations(task("bad"))[0].Explained)
}

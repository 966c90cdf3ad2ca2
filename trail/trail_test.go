package trail_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/trail"
)

const sampleLog = `starting
  1.20 e1 {"level":"info","event":505,"message":"job was answered","job":"a1","result":"failed","took":210,"node":"e1","time":"2026-12-04T09:00:00.210Z"}
{"level":"info","event":613,"message":"run ended","job":"a1","kind":"failed","run":2,"node":"w1","time":"2026-12-04T09:00:00.200Z"}
{"level":"info","event":500,"message":"job was taken","job":"a2","node":"e1","time":"2026-12-04T09:00:00.100Z"}
{"level":"info","event":500,"message":"job was taken","job":"a1","node":"e1","time":"2026-12-04T09:00:00.000Z"}
{"job":"a1" cut off
`

// Guards against lines of other jobs in the output, and against lines that are lost because text precedes their JSON
// object.
func TestReadSkipsOtherJobs(t *testing.T) {
	lines, err := trail.Read(strings.NewReader(sampleLog), "a1")
	assert.NilError(t, err)
	trail.Sort(lines)
	var out bytes.Buffer
	assert.NilError(t, trail.Format(&out, lines))
	assert.Equal(t, out.String(), `     0 ms  e1                       500  job was taken  
   200 ms  w1                       613  run ended  kind=failed run=2
   210 ms  e1                       505  job was answered  result=failed took=210
`)
}

func ExampleRead() {
	lines, err := trail.Read(strings.NewReader(sampleLog), "a2")
	if err != nil {
		return
	}
	_ = trail.Format(os.Stdout, lines)
	// Output:
	//      0 ms  e1                       500  job was taken
}

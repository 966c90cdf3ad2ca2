package entry

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/message"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// Guards against accepting a task that does not fit into a frame: sending it would close the links of one agent after
// another.
func TestSubmitRefusesOversizedTask(t *testing.T) {
	req := &dispatchv1.SubmitRequest{Team: "t", Tasks: []*dispatchv1.TaskSpec{{Kind: "k", Payload: make([]byte, message.MaxPayloadSize)}}}
	assert.ErrorContains(t, validateSubmit(req), "nothing was run")
	req.Tasks[0].Payload = req.Tasks[0].Payload[64:]
	assert.NilError(t, validateSubmit(req))
	_, err := message.Encode(message.TypeStart, 1, message.Start{Kind: "k", Payload: req.Tasks[0].Payload})
	assert.NilError(t, err)
}

// Guards against a response that does not fit into a frame and so never reaches the entry that forwarded the request.
func TestOversizedResponseBecomesVerdict(t *testing.T) {
	large := &dispatchv1.SubmitResponse{Results: [][]byte{make([]byte, message.MaxPayloadSize)}}
	var got dispatchv1.SubmitResponse
	assert.NilError(t, proto.Unmarshal(encodeReply(large).Response, &got))
	assert.Equal(t, got.GetVerdict().GetOutcome(), dispatchv1.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, got.GetVerdict().GetReason(), dispatchv1.Reason_REASON_INVALID)
	assert.Equal(t, len(got.GetResults()), 0)
}

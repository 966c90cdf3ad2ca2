package logservice_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/logservice"
)

// Guards against a record that is reported as not appended since the answer of the log could not be decoded.
func TestUnreadableAnswerIsLost(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write([]byte{0xff})
	}))
	defer server.Close()
	c := logservice.New(logservice.Config{Address: server.Listener.Addr().String()})
	_, err := c.Append(t.Context(), "config", nil)
	assert.ErrorIs(t, err, logservice.ErrLost)
}

package event_test

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/event"
)

// Guards against an event that is missing from docs/events.md, and against a page with another level or text.
func TestCatalogueIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	assert.NilError(t, err)
	var rows [][]string
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, " | ")
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number") && !strings.HasPrefix(line, "| ---") {
			assert.Equal(t, len(cells), 5, line)
			rows = append(rows, cells)
		}
	}
	events := event.All()
	assert.Equal(t, len(rows), len(events))
	for i, e := range events {
		assert.Equal(t, rows[i][0], "| "+strconv.Itoa(e.Number()))
		assert.Equal(t, rows[i][1], e.Level().String(), "event %d", e.Number())
		assert.Equal(t, rows[i][2], e.Text(), "event %d", e.Number())
		assert.Assert(t, rows[i][3] != "" && strings.TrimSuffix(rows[i][4], " |") != "", "event %d", e.Number())
	}
}

// Guards against duplicate event numbers and numbers out of order.
func TestNumbersAscend(t *testing.T) {
	previous := 0
	for _, e := range event.All() {
		assert.Assert(t, e.Number() > previous, "event %d follows %d", e.Number(), previous)
		previous = e.Number()
	}
}

// Guards against a log line without event number, level or message, and against debug events that are logged at level
// info.
func TestEventOn(t *testing.T) {
	var out bytes.Buffer
	logger := zerolog.New(&out).Level(zerolog.InfoLevel)
	event.JobRefused.On(logger).Send()
	assert.Equal(t, out.String(), "")
	event.LinkClosed.On(logger).Str("peer", "entry-2").Send()
	assert.Equal(t, out.String(), `{"level":"info","event":201,"message":"link closed","peer":"entry-2"}`+"\n")
}

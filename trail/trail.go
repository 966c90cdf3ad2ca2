// Package trail extracts the lines about one job from the logs of several processes and prints them in time order.
package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrRead is returned for a log that cannot be read.
var ErrRead = eris.New("log cannot be read")

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// Line is one log line about the job.
type Line struct {
	Time time.Time
	// Node is the name of the process that wrote the line.
	Node string
	// Event is the number of the event, Message its text.
	Event   string
	Message string
	// Fields holds the remaining fields as name=value, sorted by name. The level and the job are left out.
	Fields []string
}

// excludedFields are the JSON fields that are not in Line.Fields. All but the level and the job have a field of Line.
var excludedFields = map[string]bool{"time": true, "node": true, "event": true, "message": true, "level": true, "job": true}

// Read returns the lines of a log whose field "job" is the given job. It skips any text before the JSON object of a
// line, and lines without a JSON object.
func Read(r io.Reader, job string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parse(s.Bytes(), job); ok {
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return lines, eris.Wrapf(ErrRead, "%v", err)
	}
	return lines, nil
}

// parse decodes one log line. It returns false if the line has no readable JSON object or is about another job.
func parse(line []byte, job string) (Line, bool) {
	if !bytes.Contains(line, []byte(job)) {
		return Line{}, false
	}
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(line[start:]))
	// Without UseNumber, large integers would lose digits as float64.
	d.UseNumber()
	if d.Decode(&fields) != nil || fields["job"] != job {
		return Line{}, false
	}
	l := Line{Node: stringOrEmpty(fields["node"]), Message: stringOrEmpty(fields["message"]), Event: fmt.Sprint(fields["event"])}
	// A line without a valid time is kept. Its zero time sorts first.
	l.Time, _ = time.Parse(time.RFC3339Nano, stringOrEmpty(fields["time"]))
	for name, value := range fields {
		if !excludedFields[name] {
			l.Fields = append(l.Fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(l.Fields)
	return l, true
}

// stringOrEmpty returns v if it is a string, and the empty string otherwise.
func stringOrEmpty(v any) string {
	s, _ := v.(string)
	return s
}

// Sort sorts lines by time. Lines with the same time keep their order.
func Sort(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Format writes each line as one line of text, starting with the time in ms since the first one.
func Format(w io.Writer, lines []Line) error {
	for _, l := range lines {
		elapsed := l.Time.Sub(lines[0].Time).Milliseconds()
		_, err := fmt.Fprintf(w, "%6d ms  %-24s %s  %s  %s\n", elapsed, l.Node, l.Event, l.Message, strings.Join(l.Fields, " "))
		if err != nil {
			return eris.Wrap(err, "cannot write log lines")
		}
	}
	return nil
}

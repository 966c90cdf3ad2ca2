// Package trail reads the logs of processes and tells the story of one job.
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

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// Line is one line of a log that names the job.
type Line struct {
	Time time.Time
	// Node is the process that wrote the line.
	Node string
	// Event is the number of the event, Text its message.
	Event string
	Text  string
	// Fields holds all other fields as name=value, in the order of their names.
	Fields []string
}

// fixed are the fields that Line holds by themselves.
var fixed = map[string]bool{"time": true, "node": true, "event": true, "message": true, "level": true, "job": true}

// Read returns the lines of a log that name the job. What stands before the JSON object of a line is passed over, as
// are lines without one.
func Read(r io.Reader, job string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

func parse(text []byte, job string) (Line, bool) {
	if !bytes.Contains(text, []byte(job)) {
		return Line{}, false
	}
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(text[begin:]))
	// Large numbers keep their digits.
	d.UseNumber()
	if d.Decode(&fields) != nil || fields["job"] != job {
		return Line{}, false
	}
	l := Line{Node: textOf(fields["node"]), Text: textOf(fields["message"]), Event: fmt.Sprint(fields["event"])}
	// A line without a readable time is kept; it sorts first.
	l.Time, _ = time.Parse(time.RFC3339Nano, textOf(fields["time"]))
	for name, value := range fields {
		if !fixed[name] {
			l.Fields = append(l.Fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(l.Fields)
	return l, true
}

func textOf(v any) string {
	s, _ := v.(string)
	return s
}

// Sort puts lines into the order of their times. Lines of one time keep their order.
func Sort(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Format writes one line for each, with the time since the first one.
func Format(w io.Writer, lines []Line) error {
	for _, l := range lines {
		after := l.Time.Sub(lines[0].Time).Milliseconds()
		_, err := fmt.Fprintf(w, "%6d ms  %-24s %s  %s  %s\n", after, l.Node, l.Event, l.Text, strings.Join(l.Fields, " "))
		if err != nil {
			return eris.Wrap(err, "cannot write")
		}
	}
	return nil
}

package settings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	File string
	// Line is 0 for what is missing from the whole file.
	Line int
	Text string
}

// String returns file, line and text.
func (p Problem) String() string {
	if p.Line == 0 {
		return p.File + ": " + p.Text
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
}

// Load reads a settings file for a role. It returns ErrSettings, with every problem on a line of its own, if the file
// cannot be used; the settings then hold what could be read.
func Load(path string, role Role) (Settings, error) {
	s, problems := Check(path, role)
	if len(problems) == 0 {
		return s, nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return s, eris.Wrap(ErrSettings, strings.Join(lines, "\n"))
}

// Check reads a settings file for a role and returns every problem, in the order of the lines.
func Check(path string, role Role) (Settings, []Problem) {
	s := Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, []Problem{{File: path, Text: "cannot be read: " + err.Error()}}
	}
	return s, check(&s, path, text, role)
}

func check(s *Settings, path string, text []byte, role Role) []Problem {
	// The library gives no line numbers and stops at the first fault, so lines are located by scan.
	f, err := ini.LoadSources(ini.LoadOptions{
		SkipUnrecognizableLines: true, IgnoreContinuation: true, KeyValueDelimiters: "=",
	}, text)
	if err != nil {
		return []Problem{{File: path, Text: err.Error()}}
	}
	c := checker{path: path, file: f, scan: scan(text)}
	for _, l := range c.scan.bad {
		c.add(l.number, l.text)
	}
	known := fields(s)
	c.unknown(known)
	for _, f := range known {
		c.field(f, role)
	}
	c.advertise(s)
	if role == RoleAny && !slices.ContainsFunc(daemons, func(r Role) bool { return c.has(string(r)) }) {
		c.add(0, "section [entry], [agent], [gateway] or [runner] is missing")
	}
	sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].Line < c.problems[j].Line })
	return c.problems
}

type checker struct {
	path     string
	file     *ini.File
	scan     scanned
	problems []Problem
}

func (c *checker) add(line int, text string) {
	c.problems = append(c.problems, Problem{File: c.path, Line: line, Text: text})
}

func (c *checker) has(section string) bool {
	_, ok := c.scan.sections[section]
	return ok
}

// unknown reports sections and keys that no field has.
func (c *checker) unknown(known []field) {
	sections, keys := map[string]bool{}, map[place]bool{}
	for _, f := range known {
		sections[f.section], keys[place{f.section, f.key}] = true, true
	}
	for name, line := range c.scan.sections {
		if !sections[name] {
			c.add(line, fmt.Sprintf("unknown section [%s]", name))
		}
	}
	for at, line := range c.scan.keys {
		if sections[at.section] && !keys[at] {
			c.add(line, fmt.Sprintf("unknown key %s in section [%s]", at.key, at.section))
		}
	}
}

func (c *checker) field(f field, role Role) {
	line, ok := c.scan.keys[place{f.section, f.key}]
	if ok {
		text := c.file.Section(f.section).Key(f.key).Value()
		if wrong := f.value.set(text); wrong != "" {
			c.add(line, fmt.Sprintf("%s.%s is %.80q, %s", f.section, f.key, text, wrong))
		}
		return
	}
	if f.value.String() == "" && slices.ContainsFunc(f.needs, func(r Role) bool {
		return r == role || (role == RoleAny && c.has(string(r)))
	}) {
		c.add(c.scan.sections[f.section], fmt.Sprintf("key %s is missing from section [%s]", f.key, f.section))
	}
}

// advertise reports an address that other processes would be told but could not dial.
func (c *checker) advertise(s *Settings) {
	told, key := s.Entry.Advertise, "advertise"
	if told == "" {
		told, key = s.Entry.Links, "links"
	}
	host, _, err := net.SplitHostPort(told)
	if err != nil || !net.ParseIP(host).IsUnspecified() {
		return
	}
	line := c.scan.keys[place{"entry", key}]
	c.add(line, fmt.Sprintf("entry.%s is %s, which others cannot dial; set entry.advertise to an address that they can", key, told))
}

// place is a section and a key in it.
type place struct {
	section string
	key     string
}

type badLine struct {
	number int
	text   string
}

// scanned holds the line numbers of a file.
type scanned struct {
	sections map[string]int
	keys     map[place]int
	bad      []badLine
}

func scan(text []byte) scanned {
	s := scanned{sections: map[string]int{}, keys: map[place]int{}}
	section, named := "", false
	for i, line := range strings.Split(string(text), "\n") {
		number, line := i+1, strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			end := strings.IndexByte(line, ']')
			if end < 0 {
				s.fault(number, "section name has no closing bracket")
				continue
			}
			section, named = strings.TrimSpace(line[1:end]), true
			if s.sections[section] == 0 {
				s.sections[section] = number
			}
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		at := place{section, key}
		switch {
		case !ok || key == "":
			s.fault(number, fmt.Sprintf("%.80q is neither a section nor key = value", line))
		case !named:
			s.fault(number, fmt.Sprintf("key %s is before the first section", key))
		case s.keys[at] != 0:
			s.fault(number, fmt.Sprintf("key %s of section [%s] is set on line %d too", key, section, s.keys[at]))
		default:
			s.keys[at] = number
		}
	}
	return s
}

func (s *scanned) fault(number int, text string) {
	s.bad = append(s.bad, badLine{number: number, text: text})
}

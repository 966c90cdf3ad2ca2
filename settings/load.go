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

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line is the line number, counted from 1, or 0 for a problem without a line, such as a missing section.
	Line int
	Text string
}

// String returns the problem as "FILE:LINE: TEXT", without the line number if there is none.
func (p Problem) String() string {
	if p.Line == 0 {
		return p.File + ": " + p.Text
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
}

// Load reads a settings file for a role. If the file has problems, it returns ErrSettings with one line per problem,
// and the settings hold the valid values of the file and defaults for all others.
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

// Check reads a settings file for a role and returns all problems, ordered by line. Like Load, it returns settings also
// for a file with problems.
func Check(path string, role Role) (Settings, []Problem) {
	s := Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, []Problem{{File: path, Text: "cannot be read: " + err.Error()}}
	}
	return s, check(&s, path, text, role)
}

func check(s *Settings, path string, text []byte, role Role) []Problem {
	// The INI library reports no line numbers and stops at the first error. It therefore skips malformed lines here;
	// indexLines finds them, and the line numbers of sections and keys.
	f, err := ini.LoadSources(ini.LoadOptions{
		SkipUnrecognizableLines: true, IgnoreContinuation: true, KeyValueDelimiters: "=",
	}, text)
	if err != nil {
		return []Problem{{File: path, Text: err.Error()}}
	}
	c := checker{path: path, file: f, index: indexLines(text)}
	for _, l := range c.index.malformed {
		c.addProblem(l.number, l.text)
	}
	known := fields(s)
	c.checkUnknown(known)
	for _, f := range known {
		c.checkField(f, role)
	}
	c.checkAdvertised(s)
	if role == RoleAny && !slices.ContainsFunc(daemonRoles, func(r Role) bool { return c.hasSection(string(r)) }) {
		c.addProblem(0, "section [entry], [agent], [gateway] or [runner] is missing")
	}
	sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].Line < c.problems[j].Line })
	return c.problems
}

// checker collects the problems of one file.
type checker struct {
	path     string
	file     *ini.File
	index    lineIndex
	problems []Problem
}

func (c *checker) addProblem(line int, text string) {
	c.problems = append(c.problems, Problem{File: c.path, Line: line, Text: text})
}

func (c *checker) hasSection(section string) bool {
	_, ok := c.index.sections[section]
	return ok
}

// checkUnknown reports the sections and keys of the file that are not known.
func (c *checker) checkUnknown(known []field) {
	sections, keys := map[string]bool{}, map[keyRef]bool{}
	for _, f := range known {
		sections[f.section], keys[keyRef{f.section, f.key}] = true, true
	}
	for name, line := range c.index.sections {
		if !sections[name] {
			c.addProblem(line, fmt.Sprintf("unknown section [%s]", name))
		}
	}
	for ref, line := range c.index.keys {
		if sections[ref.section] && !keys[ref] {
			c.addProblem(line, fmt.Sprintf("unknown key %s in section [%s]", ref.key, ref.section))
		}
	}
}

// checkField stores the value of a key in the field, and reports a wrong value or a missing one that the role requires.
func (c *checker) checkField(f field, role Role) {
	line, ok := c.index.keys[keyRef{f.section, f.key}]
	if ok {
		text := c.file.Section(f.section).Key(f.key).Value()
		if problem := f.value.parse(text); problem != "" {
			c.addProblem(line, fmt.Sprintf("%s.%s is %.80q, %s", f.section, f.key, text, problem))
		}
		return
	}
	if f.value.String() == "" && slices.ContainsFunc(f.requiredBy, func(r Role) bool {
		return r == role || (role == RoleAny && c.hasSection(string(r)))
	}) {
		c.addProblem(c.index.sections[f.section], fmt.Sprintf("key %s is missing from section [%s]", f.key, f.section))
	}
}

// checkAdvertised reports a wildcard address, such as 0.0.0.0, that the entry would advertise and that other processes
// could not dial.
func (c *checker) checkAdvertised(s *Settings) {
	advertised, key := s.Entry.Advertise, "advertise"
	if advertised == "" {
		advertised, key = s.Entry.Links, "links"
	}
	host, _, err := net.SplitHostPort(advertised)
	if err != nil || !net.ParseIP(host).IsUnspecified() {
		return
	}
	line := c.index.keys[keyRef{"entry", key}]
	c.addProblem(line, fmt.Sprintf("entry.%s is %s, which others cannot dial; set entry.advertise to an address that they can", key, advertised))
}

// keyRef is a section and a key in it.
type keyRef struct {
	section string
	key     string
}

// malformedLine is a line with a syntax error, or a key that is set twice.
type malformedLine struct {
	number int
	text   string
}

// lineIndex holds the line numbers, counted from 1, of the sections and keys of a file, and its malformed lines. A
// section that occurs several times has the number of the first line.
type lineIndex struct {
	sections  map[string]int
	keys      map[keyRef]int
	malformed []malformedLine
}

func indexLines(text []byte) lineIndex {
	x := lineIndex{sections: map[string]int{}, keys: map[keyRef]int{}}
	section, inSection := "", false
	for i, line := range strings.Split(string(text), "\n") {
		number, line := i+1, strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			end := strings.IndexByte(line, ']')
			if end < 0 {
				x.addMalformed(number, "section name has no closing bracket")
				continue
			}
			section, inSection = strings.TrimSpace(line[1:end]), true
			if x.sections[section] == 0 {
				x.sections[section] = number
			}
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		ref := keyRef{section, key}
		switch {
		case !ok || key == "":
			x.addMalformed(number, fmt.Sprintf("%.80q is neither a section nor key = value", line))
		case !inSection:
			x.addMalformed(number, fmt.Sprintf("key %s is before the first section", key))
		case x.keys[ref] != 0:
			x.addMalformed(number, fmt.Sprintf("key %s of section [%s] is set on line %d too", key, section, x.keys[ref]))
		default:
			x.keys[ref] = number
		}
	}
	return x
}

func (x *lineIndex) addMalformed(number int, text string) {
	x.malformed = append(x.malformed, malformedLine{number: number, text: text})
}

package settings

import (
	"fmt"
	"strings"
)

// String returns the settings as a file that Load reads. Keys without a value are comments.
func (s Settings) String() string {
	var b strings.Builder
	section := ""
	for _, f := range fields(&s) {
		if f.section != section {
			if section != "" {
				b.WriteByte('\n')
			}
			section = f.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		if text := f.value.String(); text != "" {
			fmt.Fprintf(&b, "%s = %s\n", f.key, text)
		} else {
			fmt.Fprintf(&b, "# %s is not set\n", f.key)
		}
	}
	return b.String()
}

// Map returns the settings by section and key.
func (s Settings) Map() map[string]map[string]string {
	all := map[string]map[string]string{}
	for _, f := range fields(&s) {
		if all[f.section] == nil {
			all[f.section] = map[string]string{}
		}
		all[f.section][f.key] = f.value.String()
	}
	return all
}

const introduction = `# Settings

Entries and agents read an INI file, ` + "`lavendercourse.ini`" + ` or the one that ` + "`--settings`" + ` names. Section and key names are
single lower-case words. ` + "`lavendercourse settings check`" + ` prints the settings in force and names every wrong, unknown
or missing key with its line. A daemon with wrong settings does not start and exits with code 5. A key that is needed
must be set for the daemons named in its row, unless it has a default.
`

// Reference returns the page that describes every key. It is the content of docs/settings.md.
func Reference() string {
	var b strings.Builder
	b.WriteString(introduction)
	s := Default()
	section := ""
	for _, f := range fields(&s) {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | values | needed by | meaning |\n| --- | --- | --- | --- | --- | --- |\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", f.key, dash(f.unit), dash(f.value.String()), f.value.bounds(), dash(roles(f.needs)), f.meaning)
	}
	return b.String()
}

func roles(needs []Role) string {
	names := make([]string, len(needs))
	for i, r := range needs {
		names[i] = string(r)
	}
	return strings.Join(names, ", ")
}

func dash(s string) string {
	if s == "" {
		return "–"
	}
	return s
}

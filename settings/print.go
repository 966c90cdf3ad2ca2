package settings

import (
	"fmt"
	"strings"
)

// String returns the settings as a file that Load can read. Keys without a value appear as comments.
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

// Map returns the values of all keys by section and key.
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

const referenceIntro = `# Settings

Entries, agents, gateways and runners read an INI file, ` + "`lavendercourse.ini`" + ` or the file given by ` + "`--settings`" + `.
Section and key names are single lower-case words. ` + "`lavendercourse settings check`" + ` prints the effective settings and
lists every invalid, unknown or missing key with its line number. A daemon with invalid settings does not start and
exits with code 5. The daemons listed under "needed by" do not start unless the key is set or has a default.
`

// Reference returns the reference page of all keys, in Markdown. It is the content of docs/settings.md.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceIntro)
	s := Default()
	section := ""
	for _, f := range fields(&s) {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | values | needed by | meaning |\n| --- | --- | --- | --- | --- | --- |\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", f.key, orDash(f.unit), orDash(f.value.String()), f.value.validValues(), orDash(joinRoles(f.requiredBy)), f.meaning)
	}
	return b.String()
}

func joinRoles(roles []Role) string {
	names := make([]string, len(roles))
	for i, r := range roles {
		names[i] = string(r)
	}
	return strings.Join(names, ", ")
}

func orDash(s string) string {
	if s == "" {
		return "–"
	}
	return s
}

package config

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Values of a failure domain's state.
const (
	Drained = "drained"
	Serving = "serving"
)

const (
	maxNameLength = 64
	domainPrefix  = "domain."
	teamPrefix    = "team."
)

// DomainKey returns the key that holds the state of a failure domain.
func DomainKey(domain string) string { return domainPrefix + domain }

// CheckSetting tells whether a key and its value may be published. The keys are:
//
//	domain.<name>       drained or serving
//	team.<name>.quota   largest number of running tasks, 0 for no limit
//	team.<name>.weight  share when teams compete, 1 to 1000
func CheckSetting(key, value string) error {
	parts := strings.Split(key, ".")
	switch {
	case len(parts) == 2 && parts[0] == "domain" && isName(parts[1]):
		if value != Drained && value != Serving {
			return eris.Wrapf(ErrKey, "%s is %q, want %s or %s", key, value, Drained, Serving)
		}
		return nil
	case len(parts) == 3 && parts[0] == "team" && isName(parts[1]) && parts[2] == "quota":
		return checkNumber(key, value, 0, 1_000_000)
	case len(parts) == 3 && parts[0] == "team" && isName(parts[1]) && parts[2] == "weight":
		return checkNumber(key, value, 1, 1000)
	}
	return eris.Wrapf(ErrKey, "%.80q is not domain.<name>, team.<name>.quota or team.<name>.weight", key)
}

// Domains returns the failure domains that are drained.
func (s *State) Domains() map[string]bool {
	drained := map[string]bool{}
	for key, v := range s.settings {
		if name, ok := strings.CutPrefix(key, domainPrefix); ok && v.Value == Drained {
			drained[name] = true
		}
	}
	return drained
}

// Gate returns the version of the newest change of a failure domain's state.
func (s *State) Gate() uint64 {
	var gate uint64
	for key, v := range s.settings {
		if strings.HasPrefix(key, domainPrefix) {
			gate = max(gate, v.Version)
		}
	}
	return gate
}

// Team holds the limits of a team.
type Team struct {
	Quota  int
	Weight int
}

// Teams returns the limits of all teams that have any.
func (s *State) Teams() map[string]Team {
	teams := map[string]Team{}
	for key, v := range s.settings {
		rest, ok := strings.CutPrefix(key, teamPrefix)
		if !ok {
			continue
		}
		name, field, _ := strings.Cut(rest, ".")
		n, err := strconv.Atoi(v.Value)
		if err != nil {
			continue
		}
		t, seen := teams[name]
		if !seen {
			t.Weight = 1
		}
		if field == "quota" {
			t.Quota = n
		} else {
			t.Weight = n
		}
		teams[name] = t
	}
	return teams
}

func checkNumber(key, value string, low, high int) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		return eris.Wrapf(ErrKey, "%s is %.40q, want a whole number from %d to %d", key, value, low, high)
	}
	return nil
}

func isName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

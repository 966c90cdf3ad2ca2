package config

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Values of the setting of a failure domain.
const (
	Drained = "drained"
	Serving = "serving"
)

const (
	// maxNameLength is the maximum length of a domain or team name in bytes.
	maxNameLength = 64
	domainPrefix  = "domain."
	teamPrefix    = "team."
)

// DomainKey returns the key of the setting that drains or restores a failure domain.
func DomainKey(domain string) string { return domainPrefix + domain }

// CheckSetting returns an error unless the key is known and the value is valid for it. The keys are:
//
//	domain.<name>       drained or serving
//	team.<name>.quota   maximum number of running tasks, 0 for no limit
//	team.<name>.weight  relative share when teams compete for capacity, 1 to 1000
func CheckSetting(key, value string) error {
	parts := strings.Split(key, ".")
	switch {
	case len(parts) == 2 && parts[0] == "domain" && validName(parts[1]):
		if value != Drained && value != Serving {
			return eris.Wrapf(ErrInvalidSetting, "%s is %q, want %s or %s", key, value, Drained, Serving)
		}
		return nil
	case len(parts) == 3 && parts[0] == "team" && validName(parts[1]) && parts[2] == "quota":
		return checkNumber(key, value, 0, 1_000_000)
	case len(parts) == 3 && parts[0] == "team" && validName(parts[1]) && parts[2] == "weight":
		return checkNumber(key, value, 1, 1000)
	}
	return eris.Wrapf(ErrInvalidSetting, "%.80q is not domain.<name>, team.<name>.quota or team.<name>.weight", key)
}

// DrainedDomains returns the set of failure domains that are drained.
func (s *State) DrainedDomains() map[string]bool {
	drained := map[string]bool{}
	for key, v := range s.settings {
		if name, ok := strings.CutPrefix(key, domainPrefix); ok && v.Value == Drained {
			drained[name] = true
		}
	}
	return drained
}

// DomainsVersion returns the configuration version of the newest change to the setting of any failure domain, or 0.
func (s *State) DomainsVersion() uint64 {
	var newest uint64
	for key, v := range s.settings {
		if strings.HasPrefix(key, domainPrefix) {
			newest = max(newest, v.Version)
		}
	}
	return newest
}

// Team holds the limits of a team.
type Team struct {
	// Quota is the maximum number of running tasks, or 0 for no limit.
	Quota int
	// Weight is the relative share when teams compete for capacity. The default is 1.
	Weight int
}

// Teams returns the limits of all teams that have a setting, by name.
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
		t, exists := teams[name]
		if !exists {
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
		return eris.Wrapf(ErrInvalidSetting, "%s is %.40q, want a whole number from %d to %d", key, value, low, high)
	}
	return nil
}

func validName(s string) bool {
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

package queue

import (
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/placement"
)

const (
	// preferPeriod is the shortest time in ms between two assignments of the preferred runners, since many runners and entries
	// come at once after a loss of power, and an assignment of 250 runners among 40 entries takes 4 ms.
	preferPeriod = 100 * clock.Millis(1)
	// maxEvenEntries is the number of entries up to which each runner is linked with all of them, so that all entries can compute even
	// shares of the same runners. It is the default number of links of a runner.
	maxEvenEntries = 16
)

// preference tells when the preferred runners were assigned. Entries of one failure domain divide its runners among them and order
// from their own ones first, so that they do not order into the same free room before they learn of each other's runs.
type preference struct {
	// assignedAt is the time in ms of the last assignment, or 0.
	assignedAt clock.Millis
	// stale is set if entries or runners have come or gone since.
	stale bool
}

// runnerGroup is what the runners of one service in one failure domain have in common.
type runnerGroup struct{ service, domain string }

// SetPeerDomain records the failure domain of another entry.
func (s *Scheduler) SetPeerDomain(name, domain string) {
	if p := s.peers[name]; p != nil && p.domain != domain {
		p.domain = domain
		s.preference.stale = true
	}
}

// PreferredRunners returns the number of runners that the entry orders from first.
func (s *Scheduler) PreferredRunners() int {
	n := 0
	for _, r := range s.sortedRunners {
		if r.linked && r.preferred {
			n++
		}
	}
	return n
}

// updatePreference assigns the preferred runners anew if that is due.
func (s *Scheduler) updatePreference(now clock.Millis) {
	due := s.preference.assignedAt == 0 || now-s.preference.assignedAt >= preferPeriod
	if !s.cfg.PreferRunners || !s.preference.stale || !due {
		return
	}
	s.preference = preference{assignedAt: now}
	entries := append(s.linkedPeers(), s.cfg.Name)
	groups := map[runnerGroup][]string{}
	for _, r := range s.sortedRunners {
		r.preferred = false
		if r.linked {
			g := runnerGroup{r.enrollment.Service, r.enrollment.Domain}
			groups[g] = append(groups[g], r.Name())
		}
	}
	for g, runners := range groups {
		for runner, entry := range s.shareRunners(runners, entries, g.domain) {
			s.runners[runner].preferred = entry == s.cfg.Name
		}
	}
}

// shareRunners returns the entry that prefers each of the given runners of one failure domain: one of that domain, or of any if the
// domain has none.
func (s *Scheduler) shareRunners(runners, entries []string, domain string) map[string]string {
	if len(entries) > maxEvenEntries {
		return s.nearestEntries(runners, entries, domain)
	}
	near := make([]string, 0, len(entries))
	for _, name := range entries {
		if s.domainOf(name) == domain {
			near = append(near, name)
		}
	}
	if len(near) == 0 {
		near = entries
	}
	return placement.Homes(runners, near)
}

// nearestEntries returns for each runner the first entry in its ranking that is in the given failure domain and that the runner is
// linked with, or the first one if there is none. Runners choose their links by the same ranking.
func (s *Scheduler) nearestEntries(runners, entries []string, domain string) map[string]string {
	nearest := map[string]string{}
	for _, runner := range runners {
		links := placement.Rank(runner, entries)[:maxEvenEntries]
		nearest[runner] = links[0]
		for _, name := range links {
			if s.domainOf(name) == domain {
				nearest[runner] = name
				break
			}
		}
	}
	return nearest
}

// domainOf returns the failure domain of this or another entry.
func (s *Scheduler) domainOf(entry string) string {
	if entry == s.cfg.Name {
		return s.cfg.Domain
	}
	return s.peers[entry].domain
}

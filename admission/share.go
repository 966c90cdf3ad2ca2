package admission

import "github.com/lavendercourse/lavendercourse/clock"

// reportAge is the age in ms above which a report of another entry's demand is not used. Reports come every second.
const reportAge = 3 * clock.Second

type report struct {
	at     clock.Millis
	demand map[string]int
}

// Shares splits the quotas of teams over the entries by their demand.
type Shares struct {
	reports map[string]report
}

// NewShares returns shares without any report.
func NewShares() *Shares {
	return &Shares{reports: map[string]report{}}
}

// Report takes note of the tasks that wait or run at another entry, by team.
func (s *Shares) Report(now clock.Millis, entry string, demand map[string]int) {
	s.reports[entry] = report{at: now, demand: demand}
}

// Forget drops the reports that are too old to be used.
func (s *Shares) Forget(now clock.Millis) {
	for entry, r := range s.reports {
		if now-r.at > reportAge {
			delete(s.reports, entry)
		}
	}
}

// Of returns the number of tasks of a team that this entry may run at once, at least 1. An entry of the list that has
// not reported lately keeps its even part, so that an entry which is cut off cannot take what the others use. Once the
// reports of all entries are in, the parts of all entries add up to at most the quota plus the number of entries.
func (s *Shares) Of(now clock.Millis, team string, quota, own int, others []string) int {
	if quota <= 0 {
		return 0
	}
	even := quota / (len(others) + 1)
	left, total := quota, own
	for _, name := range others {
		r, ok := s.reports[name]
		if !ok || now-r.at > reportAge {
			left -= even
			continue
		}
		total += r.demand[team]
	}
	if total == 0 {
		return max(even, 1)
	}
	return max(left*own/total, 1)
}

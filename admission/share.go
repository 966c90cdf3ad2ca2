package admission

import "github.com/lavendercourse/lavendercourse/clock"

// maxReportAge is the age in ms above which a demand report of another entry is ignored. Entries send one every second.
const maxReportAge = 3 * clock.Second

// report is the last demand report of another entry.
type report struct {
	receivedAt clock.Millis
	// demand is the number of waiting and running tasks by team.
	demand map[string]int
}

// Shares divides the quotas of teams among the entries in proportion to their demand.
type Shares struct {
	// reports holds the last report of each entry by its name.
	reports map[string]report
}

// NewShares returns shares without any reports.
func NewShares() *Shares {
	return &Shares{reports: map[string]report{}}
}

// Report records the number of waiting and running tasks at another entry, by team.
func (s *Shares) Report(now clock.Millis, entry string, demand map[string]int) {
	s.reports[entry] = report{receivedAt: now, demand: demand}
}

// Forget deletes the reports that are too old to be used.
func (s *Shares) Forget(now clock.Millis) {
	for entry, r := range s.reports {
		if now-r.receivedAt > maxReportAge {
			delete(s.reports, entry)
		}
	}
}

// Share returns this entry's share of the quota of a team: the number of tasks that it may run at once, at least 1. It
// returns 0, which means no limit, if the quota is not positive. Own is the demand of the team at this entry, and
// others are the names of the other entries.
//
// For an entry without a recent report, the even share is set aside, so that an entry that is cut off from the others
// cannot use the shares that they are using. Once all entries have received the reports of all others, the shares add
// up to at most the quota plus the number of entries.
func (s *Shares) Share(now clock.Millis, team string, quota, own int, others []string) int {
	if quota <= 0 {
		return 0
	}
	evenShare := quota / (len(others) + 1)
	remaining, total := quota, own
	for _, name := range others {
		r, ok := s.reports[name]
		if !ok || now-r.receivedAt > maxReportAge {
			remaining -= evenShare
			continue
		}
		total += r.demand[team]
	}
	if total == 0 {
		return max(evenShare, 1)
	}
	return max(remaining*own/total, 1)
}

package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders entries by preference for an agent, by rendezvous hashing. All processes that know the same entries get
// the same order without exchanging messages.
func Rank(agent string, entries []string) []string {
	ranked := append([]string(nil), entries...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := score(agent, ranked[i]), score(agent, ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// Homes assigns each agent to one entry, its home: the first one in its ranking that has not got its full share yet.
// The shares are even, rounded up or down, so that small fleets are balanced too, which hashing alone does not ensure.
// The result depends on the order of the agents but not on that of the entries.
func Homes(agents, entries []string) map[string]string {
	homes := make(map[string]string, len(agents))
	if len(entries) == 0 {
		return homes
	}
	perEntry, remainder := len(agents)/len(entries), len(agents)%len(entries)
	assigned := map[string]int{}
	for _, agent := range agents {
		for _, entry := range Rank(agent, entries) {
			if assigned[entry] > perEntry || (assigned[entry] == perEntry && remainder == 0) {
				continue
			}
			if assigned[entry] == perEntry {
				remainder--
			}
			homes[agent] = entry
			assigned[entry]++
			break
		}
	}
	return homes
}

// score returns the rendezvous hash of an agent and an entry. The highest score ranks first.
func score(agent, entry string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(agent)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}

package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders entries for an agent by rendezvous hashing: the first one is the agent's home. All processes that know
// the same entries find the same order, without a message.
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

// Homes assigns each agent to one entry. Every entry gets its even share, rounded up or down, so that small fleets are
// balanced too.
func Homes(agents, entries []string) map[string]string {
	homes := make(map[string]string, len(agents))
	if len(entries) == 0 {
		return homes
	}
	share, rest := len(agents)/len(entries), len(agents)%len(entries)
	count := map[string]int{}
	for _, agent := range agents {
		for _, entry := range Rank(agent, entries) {
			if count[entry] > share || (count[entry] == share && rest == 0) {
				continue
			}
			if count[entry] == share {
				rest--
			}
			homes[agent] = entry
			count[entry]++
			break
		}
	}
	return homes
}

func score(agent, entry string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(agent)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}

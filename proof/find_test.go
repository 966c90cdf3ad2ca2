package proof

import (
	"strings"

	"pgregory.net/rapid"
)

// maxHistories limits the search for a history that reports a violation.
const maxHistories = 400

// findHistory returns the seed and the report of the first history whose report contains the wanted text, or -1.
func findHistory(histories *rapid.Generator[string], want string) (int, string) {
	for seed := range maxHistories {
		if report := histories.Example(seed); strings.Contains(report, want) {
			return seed, report
		}
	}
	return -1, ""
}

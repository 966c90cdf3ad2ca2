package proof

import (
	"strings"

	"pgregory.net/rapid"
)

// maxHistories bounds the search for a history that shows a broken rule.
const maxHistories = 400

// find returns the number and the report of the first history whose report contains the wanted text, or -1.
func find(histories *rapid.Generator[string], want string) (int, string) {
	for seed := range maxHistories {
		if report := histories.Example(seed); strings.Contains(report, want) {
			return seed, report
		}
	}
	return -1, ""
}

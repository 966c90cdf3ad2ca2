package telemetry_test

import "testing"

// Guards against a second Kill, or a Kill after Stop, that never returns.
func TestKillTwice(t *testing.T) {
	s := newSite(t)
	s.agents[0].Kill()
	s.agents[0].Kill()
	s.entries[1].Kill()
	s.entries[1].Kill()
}

package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/config"
)

// Guards against a history that lacks the changes that an entry adopted from a peer instead of reading them.
func TestHistoryAfterAdopt(t *testing.T) {
	var page lavendercourse.Page
	for i, value := range []string{"1", "2", "3"} {
		b, err := config.Encode(config.Record{Key: "team.proofs.quota", Value: value, Force: true})
		assert.NilError(t, err)
		page.Records = append(page.Records, lavendercourse.Record{Offset: uint64(i + 1), Data: b})
	}
	page.First, page.Next = 1, 4
	reader := config.New()
	reader.Apply(page)
	adopter := config.New()
	adopter.Apply(lavendercourse.Page{First: 1, Next: 4, Records: page.Records[:1]})
	assert.Assert(t, adopter.Adopt(reader.Snapshot()))
	assert.DeepEqual(t, adopter.History(0), reader.History(0))
	assert.Equal(t, len(adopter.History(0)), 3)
}

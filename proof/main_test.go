package proof

import (
	"flag"
	"os"
	"testing"
)

// historiesPerProperty is the number of random histories that rapid generates for each property. The flag -rapid.checks
// overrides it.
const historiesPerProperty = "300"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", historiesPerProperty); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

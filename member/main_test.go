package member_test

import (
	"flag"
	"os"
	"testing"
)

// rapidChecks is the number of random histories for each property. The flag -rapid.checks overrides it.
const rapidChecks = "300"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", rapidChecks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

package proof

import (
	"flag"
	"os"
	"testing"
)

// checks is the number of random histories of each property. A -rapid.checks on the command line replaces it.
const checks = "300"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

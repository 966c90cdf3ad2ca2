package lavendercourse_test

import (
	"testing"

	lavendercourse "github.com/lavendercourse/lavendercourse"
)

// FuzzParseJobID guards against ids that crash the parser, and against two texts that name the same job: an agent would
// remember them as one task or as two.
func FuzzParseJobID(f *testing.F) {
	for _, s := range []string{
		"d3kq7zmm2v4w6xya.7.q2v5ae4k", "", "own.0.tag", "own.00.tag", "own.+1.tag", "own.-1.tag", ".0.tag", "own.0.", "own.0.tag.x",
		"own.18446744073709551615.tag", "own.18446744073709551616.tag", "own.٣.tag",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := lavendercourse.ParseJobID(s)
		if err != nil {
			if !id.IsZero() {
				t.Fatalf("%q: %v, but an id is returned", s, err)
			}
			return
		}
		if id.String() != s || id.IsZero() {
			t.Fatalf("%q is written as %q", s, id)
		}
	})
}

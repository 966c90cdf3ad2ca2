package lavendercourse_test

import (
	"testing"

	lavendercourse "github.com/lavendercourse/lavendercourse"
)

// Guards against job ids that crash the parser, and against two texts that denote the same job: an agent would
// treat the same task as one task or as two.
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
				t.Fatalf("ParseJobID(%q) returned the error %v and also an id", s, err)
			}
			return
		}
		if id.String() != s || id.IsZero() {
			t.Fatalf("ParseJobID(%q) returned an id with the text form %q", s, id)
		}
	})
}

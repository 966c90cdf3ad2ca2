package lavendercourse

import (
	"crypto/rand"
	"encoding/base32"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformedJobID is returned by ParseJobID for a text that is not a job id.
var ErrMalformedJobID = eris.New("malformed job id")

// incarnationSize is the number of random bytes in an incarnation. With 80 random bits, two processes practically never
// choose the same one, without any coordination.
const incarnationSize = 10

// maxJobIDLength, in bytes, bounds the job ids that are accepted from callers.
const maxJobIDLength = 64

// idEncoding is lower-case base32. Its alphabet has no dot, which separates the fields of a job id.
var idEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Incarnation identifies one lifetime of a process. A process takes a new incarnation when it restarts, and when it
// gives up its jobs.
type Incarnation string

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(randomString(incarnationSize))
}

// JobID identifies a job and the incarnation of the entry that owns it. Its text form is incarnation.sequence.tag.
type JobID struct {
	incarnation Incarnation
	sequence    uint64
	tag         string
}

// NewJobID returns a job id that belongs to the given owner. The tag keeps callers from guessing the ids of other
// callers.
func NewJobID(owner Incarnation, sequence uint64, tag string) JobID {
	return JobID{incarnation: owner, sequence: sequence, tag: tag}
}

// NewTag returns a random tag for a job id.
func NewTag() string {
	return randomString(5)
}

// ParseJobID parses the text form of a job id. It accepts only what String returns, so each job id has exactly one text
// form.
func ParseJobID(s string) (JobID, error) {
	fields := strings.Split(s, ".")
	if len(s) > maxJobIDLength || len(fields) != 3 || fields[0] == "" || fields[2] == "" {
		return JobID{}, eris.Wrapf(ErrMalformedJobID, "%.80q is not incarnation.sequence.tag", s)
	}
	n, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != fields[1] {
		return JobID{}, eris.Wrapf(ErrMalformedJobID, "%.80q has no valid sequence number", s)
	}
	return JobID{incarnation: Incarnation(fields[0]), sequence: n, tag: fields[2]}, nil
}

// Incarnation returns the incarnation of the entry that owns the job.
func (id JobID) Incarnation() Incarnation { return id.incarnation }

// Sequence returns the sequence number of the job id, which is unique within its incarnation.
func (id JobID) Sequence() uint64 { return id.sequence }

// Tag returns the random field of the job id.
func (id JobID) Tag() string { return id.tag }

// IsZero reports whether the job id is unset.
func (id JobID) IsZero() bool { return id == JobID{} }

// String returns the text form, incarnation.sequence.tag.
func (id JobID) String() string {
	return string(id.incarnation) + "." + strconv.FormatUint(id.sequence, 10) + "." + id.tag
}

// TaskKey identifies one task of a job.
type TaskKey struct {
	job  JobID
	task uint32
}

// NewTaskKey returns the key of the task with the given index in the job.
func NewTaskKey(job JobID, task uint32) TaskKey {
	return TaskKey{job: job, task: task}
}

// Job returns the id of the job.
func (k TaskKey) Job() JobID { return k.job }

// Task returns the index of the task in its job, counted from 0.
func (k TaskKey) Task() uint32 { return k.task }

// String returns the text form, job/index.
func (k TaskKey) String() string {
	return k.job.String() + "/" + strconv.FormatUint(uint64(k.task), 10)
}

// randomString returns n random bytes in base32.
func randomString(n int) string {
	b := make([]byte, n)
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(b)
	return idEncoding.EncodeToString(b)
}

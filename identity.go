package lavendercourse

import (
	"crypto/rand"
	"encoding/base32"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrIdentity is returned for a job id that cannot be read.
var ErrIdentity = eris.New("malformed job id")

// incarnationBytes makes two equal incarnations practically impossible without any coordination.
const incarnationBytes = 10

// maxIdentityLength bounds what is read from callers, in bytes.
const maxIdentityLength = 64

var identityEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Incarnation names one life of a process. A process that restarts, or gives up its jobs, takes a new one.
type Incarnation string

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(randomText(incarnationBytes))
}

// JobID names a job and the incarnation of the entry that owns it. Its text form is incarnation.sequence.tag.
type JobID struct {
	incarnation Incarnation
	sequence    uint64
	tag         string
}

// NewJobID returns an id of the given owner. The tag keeps callers from guessing the ids of other callers.
func NewJobID(owner Incarnation, sequence uint64, tag string) JobID {
	return JobID{incarnation: owner, sequence: sequence, tag: tag}
}

// NewTag returns a random tag for a job id.
func NewTag() string {
	return randomText(5)
}

// ParseJobID reads the text form of a job id.
func ParseJobID(s string) (JobID, error) {
	parts := strings.Split(s, ".")
	if len(s) > maxIdentityLength || len(parts) != 3 || parts[0] == "" || parts[2] == "" {
		return JobID{}, eris.Wrapf(ErrIdentity, "%.80q is not incarnation.sequence.tag", s)
	}
	n, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != parts[1] {
		return JobID{}, eris.Wrapf(ErrIdentity, "%.80q has no valid sequence number", s)
	}
	return JobID{incarnation: Incarnation(parts[0]), sequence: n, tag: parts[2]}, nil
}

// Incarnation returns the incarnation of the owner.
func (id JobID) Incarnation() Incarnation { return id.incarnation }

// Sequence returns the number of the id within its incarnation.
func (id JobID) Sequence() uint64 { return id.sequence }

// Tag returns the random part.
func (id JobID) Tag() string { return id.tag }

// IsZero tells whether the id is unset.
func (id JobID) IsZero() bool { return id == JobID{} }

// String returns the text form.
func (id JobID) String() string {
	return string(id.incarnation) + "." + strconv.FormatUint(id.sequence, 10) + "." + id.tag
}

// TaskKey names one task of a job.
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

// Task returns the index of the task in its job.
func (k TaskKey) Task() uint32 { return k.task }

// String returns the text form, job id and index.
func (k TaskKey) String() string {
	return k.job.String() + "/" + strconv.FormatUint(uint64(k.task), 10)
}

func randomText(n int) string {
	b := make([]byte, n)
	// Read of crypto/rand never fails since Go 1.24.
	_, _ = rand.Read(b)
	return identityEncoding.EncodeToString(b)
}

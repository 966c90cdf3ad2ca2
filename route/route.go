// Package route holds the state that operators publish on the configuration stream of the platform: the queues with
// their services, and the drained failure domains. It does no I/O: callers pass in records and read the resulting
// state. A record that is older than the one held for its key is ignored, and the configuration version never
// decreases.
package route

import (
	"sort"
	"strings"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Queue is a queue that callers submit jobs to.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue of a request: the host must be equal, and the longest matching path prefix
	// wins.
	Host       string
	PathPrefix string
	// Service names the workers that run the tasks.
	Service string
	// Priority is the order in which queues are served, lowest value first.
	Priority int
	// MaxAttempts is the number of failed runs of one task at which its job fails.
	MaxAttempts int
	// SlackFactor and TargetLatency (ms) set the target latency of a job: SlackFactor times the estimated time of its
	// longest chain of steps, plus TargetLatency.
	SlackFactor   float64
	TargetLatency clock.Millis
	// Timeout is the time in ms for which callers wait for an answer at least, or 0 if that is not known.
	Timeout clock.Millis
	// Unsupported names a feature in the queue's configuration that is not supported, or is empty.
	Unsupported string
}

// Config is a published version of the queue configuration.
type Config struct {
	Version int64
	Queues  []Queue
}

// Update is the decoded content of a record. It is empty for a record that sets neither field.
type Update struct {
	// Config is the queue configuration in the record, or nil.
	Config *Config
	// DrainedDomain is the name of the failure domain that the record drains, or empty.
	DrainedDomain string
}

// Decoder decodes the value of a record. It returns an error if the value is malformed.
type Decoder func(key string, value []byte) (Update, error)

type record struct {
	value  []byte
	offset uint64
	update Update
}

// Table is the current state of the configuration stream. It is not safe for concurrent use.
type Table struct {
	decode  Decoder
	records map[string]record
	// next is the offset after the newest record that was read.
	next   uint64
	config *Config
	// queuesByHost holds the queues of each host, longest prefix first.
	queuesByHost map[string][]Queue
	drained      map[string]bool
}

// New returns an empty table.
func New(decode Decoder) *Table {
	return &Table{
		decode: decode, records: map[string]record{}, queuesByHost: map[string][]Queue{}, drained: map[string]bool{},
	}
}

// Next returns the offset from which the next read of the stream continues.
func (t *Table) Next() uint64 { return t.next }

// Version returns the version of the current queue configuration, or 0 if none has been read yet.
func (t *Table) Version() int64 {
	if t.config == nil {
		return 0
	}
	return t.config.Version
}

// HasConfig reports whether a queue configuration has been read.
func (t *Table) HasConfig() bool { return t.config != nil }

// Drained reports whether a failure domain is drained.
func (t *Table) Drained(domain string) bool { return t.drained[domain] }

// DrainedDomains returns the names of the drained failure domains, sorted.
func (t *Table) DrainedDomains() []string {
	names := make([]string, 0, len(t.drained))
	for name := range t.drained {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Queues returns the queues in force.
func (t *Table) Queues() []Queue {
	if t.config == nil {
		return nil
	}
	return t.config.Queues
}

// Match returns the queue of a request and the rest of the path after the queue's prefix, and whether a queue matches.
func (t *Table) Match(host, path string) (Queue, string, bool) {
	for _, q := range t.queuesByHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) {
			return q, path[len(q.PathPrefix):], true
		}
	}
	return Queue{}, "", false
}

// Contents returns the newest record of each key, sorted by key, for a gateway that cannot read the stream.
func (t *Table) Contents() lavendercourse.Contents {
	c := lavendercourse.Contents{End: t.next}
	for key, r := range t.records {
		c.Records = append(c.Records, lavendercourse.KeyRecord{Key: key, Value: r.value, Offset: r.offset})
	}
	sort.Slice(c.Records, func(i, j int) bool { return c.Records[i].Key < c.Records[j].Key })
	return c
}

// Replace applies the newest records of all keys. It removes each key that is absent from the contents, unless the
// contents are older than its record. It returns one error for each record that was skipped because it is malformed.
func (t *Table) Replace(c lavendercourse.Contents) []error {
	var errs []error
	present := map[string]bool{}
	for _, rec := range c.Records {
		present[rec.Key] = true
		errs = t.put(errs, rec.Key, rec.Value, rec.Offset)
	}
	for key, r := range t.records {
		if !present[key] && r.offset < c.End {
			t.remove(key, c.End-1)
		}
	}
	t.next = max(t.next, c.End)
	t.rebuild()
	return errs
}

// Apply applies records that are in the order of the stream. It returns errors as Replace does.
func (t *Table) Apply(c lavendercourse.Changes) []error {
	var errs []error
	for _, change := range c.Changes {
		if len(change.Value) == 0 {
			t.remove(change.Key, change.Offset)
			continue
		}
		errs = t.put(errs, change.Key, change.Value, change.Offset)
	}
	t.next = max(t.next, c.Next)
	t.rebuild()
	return errs
}

// put stores a record unless a newer one is known, and appends the error of a malformed record to errs.
func (t *Table) put(errs []error, key string, value []byte, offset uint64) []error {
	if old, ok := t.records[key]; ok && old.offset >= offset {
		return errs
	}
	if offset < t.next {
		// The offset was read before: the key has been removed since, or the record was malformed.
		return errs
	}
	u, err := t.decode(key, value)
	if err != nil {
		return append(errs, err)
	}
	t.records[key] = record{value: value, offset: offset, update: u}
	return errs
}

// remove deletes the record of a key that was removed at an offset, unless the record is newer.
func (t *Table) remove(key string, offset uint64) {
	if old, ok := t.records[key]; ok && old.offset > offset {
		return
	}
	delete(t.records, key)
}

// rebuild derives the drained failure domains and the configuration from the records. The current configuration stays
// if its record is removed or replaced by one with a lower version.
func (t *Table) rebuild() {
	t.drained = map[string]bool{}
	for _, r := range t.records {
		if r.update.DrainedDomain != "" {
			t.drained[r.update.DrainedDomain] = true
		}
		if c := r.update.Config; c != nil && c.Version > t.Version() {
			t.setConfig(c)
		}
	}
}

// setConfig makes c the current configuration and sorts the queues of each host for Match.
func (t *Table) setConfig(c *Config) {
	t.config, t.queuesByHost = c, map[string][]Queue{}
	for _, q := range c.Queues {
		t.queuesByHost[q.Host] = append(t.queuesByHost[q.Host], q)
	}
	for _, queues := range t.queuesByHost {
		sort.SliceStable(queues, func(i, j int) bool { return len(queues[i].PathPrefix) > len(queues[j].PathPrefix) })
	}
}

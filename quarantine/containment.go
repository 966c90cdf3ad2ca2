package quarantine

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
)

const (
	// firstShare is the part of the workers, in percent, that a queue may use after the first crash that it is responsible
	// for. Each further one halves it down to smallestShare: a single bad job should not cost the others of its queue, while
	// many should not cost the other queues. The share doubles with each step in which jobs of the queue end well.
	firstShare    = 40
	smallestShare = 10
	shareGrowth   = 2
	// The share grows once proofPerHit jobs of the queue have ended well and stepTimePerHit ms have passed since the first of
	// them, for each crash that the queue is responsible for, up to maxHits crashes: the more jobs of the queue crash workers,
	// the longer the others must do well.
	proofPerHit    = 2
	stepTimePerHit = 200 * clock.Millis(1)
	maxHits        = 4
	// maxStepTime, in ms, is the time without a crash after which the share grows even if few jobs of the queue have ended,
	// since few may be submitted.
	maxStepTime = 10 * clock.Second
	// causeMemory, in ms, is the time for which a cause is remembered, so that it counts once although several gateways report
	// it. maxCauses bounds the number of causes for each queue.
	causeMemory = 10 * clock.Second
	maxCauses   = 256
	// hitMemory, in ms, is the time after which a crash is forgotten if its queue may use all workers again.
	hitMemory = 2 * clock.Second
	// maxReservedPercent is the part of the workers up to which those of contained queues are kept free of other queues. A
	// larger part cannot be spared.
	maxReservedPercent = 25
	// maxContained bounds the number of queues that are remembered.
	maxContained = 256
)

// containedQueue is the state of a queue that may use only a part of the workers, or could until recently.
type containedQueue struct {
	// share is the part of the workers that the queue may use, in percent; 100 and more means all.
	share int
	// hits is the number of crashes that the queue is responsible for, proof that of its jobs that ended well since the
	// last step, and provedSince the time in ms of the first of them.
	hits        int
	proof       int
	provedSince clock.Millis
	// hitAt and steppedAt are the times of the last crash and of the last change of the share, in ms.
	hitAt     clock.Millis
	steppedAt clock.Millis
	// causes holds the causes that have counted, with their times in ms.
	causes map[string]clock.Millis
}

// Containment confines the queues of one service whose tasks crash workers to a part of its workers. Where a share of the
// jobs of a queue is bad, a limit for each task does not help: each new job costs workers before its tasks are found
// responsible. All contained queues use the same workers, so that their number does not grow with that of the queues.
type Containment struct {
	queues map[string]*containedQueue
}

// NewContainment returns a containment without queues.
func NewContainment() *Containment { return &Containment{queues: map[string]*containedQueue{}} }

// Hit confines a queue to a small share of the workers, because a job of it was found to crash workers, or because a worker
// crashed that ran tasks of the contained queue. The cause identifies the job or the crash.
func (c *Containment) Hit(now clock.Millis, queue, cause string) {
	q := c.queues[queue]
	if q == nil {
		if len(c.queues) >= maxContained {
			return
		}
		q = &containedQueue{causes: map[string]clock.Millis{}}
		c.queues[queue] = q
	}
	maps.DeleteFunc(q.causes, func(_ string, at clock.Millis) bool { return now-at >= causeMemory })
	if _, known := q.causes[cause]; known || len(q.causes) >= maxCauses {
		return
	}
	q.causes[cause] = now
	if q.share >= 100 && now-q.hitAt >= hitMemory {
		q.hits = 0
	}
	q.hits = min(q.hits+1, maxHits)
	q.share = max(firstShare>>(q.hits-1), smallestShare)
	q.proof, q.steppedAt, q.hitAt = 0, now, now
}

// Knows reports whether a cause has counted against a queue.
func (c *Containment) Knows(queue, cause string) bool {
	q := c.queues[queue]
	if q == nil {
		return false
	}
	_, known := q.causes[cause]
	return known
}

// Completed counts a job of a queue that has ended well.
func (c *Containment) Completed(now clock.Millis, queue string) {
	q := c.queues[queue]
	if q == nil {
		return
	}
	if q.proof == 0 {
		q.provedSince = now
	}
	q.proof++
}

// Tick lets the shares grow that are due, and forgets queues that have not crashed a worker for some time.
func (c *Containment) Tick(now clock.Millis) {
	for name, q := range c.queues {
		switch {
		case q.share >= 100:
			if now-q.hitAt >= hitMemory {
				delete(c.queues, name)
			}
		case now-q.steppedAt >= maxStepTime || q.isProved(now):
			q.share, q.proof, q.steppedAt = q.share*shareGrowth, 0, now
		}
	}
}

// isProved reports whether enough jobs of the queue have ended well for the next step.
func (q *containedQueue) isProved(now clock.Millis) bool {
	return q.proof >= q.hits*proofPerHit && now-q.provedSince >= clock.Millis(q.hits)*stepTimePerHit
}

// Contains reports whether a queue may use only a part of the workers.
func (c *Containment) Contains(queue string) bool {
	q := c.queues[queue]
	return q != nil && q.share < 100
}

// Queues returns the names of the contained queues in order.
func (c *Containment) Queues() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.queues)) {
		if c.Contains(name) {
			names = append(names, name)
		}
	}
	return names
}

// Partition divides the workers between the contained queues and all others.
func (c *Containment) Partition(workers []string) Partition {
	p := Partition{ranks: map[string]int{}, limits: map[string]int{}}
	ranked := slices.Clone(workers)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a, b))
	})
	for i, name := range ranked {
		p.ranks[name] = i
	}
	for name, q := range c.queues {
		if q.share >= 100 {
			continue
		}
		n := max(len(workers)*q.share/100, 1)
		p.limits[name] = n
		if n*100 <= len(workers)*maxReservedPercent {
			p.reserved = max(p.reserved, n)
		}
	}
	return p
}

// rankOf returns the sort key of a worker. All gateways compute the same, so that they choose the same workers without an
// agreement.
func rankOf(worker string) uint32 {
	h := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(worker))
	return h.Sum32()
}

// Partition tells which workers the queues may use.
type Partition struct {
	ranks map[string]int
	// limits holds the number of workers that each contained queue may use, and reserved that of the workers that no other
	// queue may use.
	limits   map[string]int
	reserved int
}

// Allows reports whether the queue may use the worker.
func (p Partition) Allows(queue, worker string) bool {
	if limit, contained := p.limits[queue]; contained {
		return p.ranks[worker] < limit
	}
	return p.reserved == 0 || p.ranks[worker] >= p.reserved
}

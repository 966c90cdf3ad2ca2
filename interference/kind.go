// Package interference learns by how much runs of one kind of task slow runs of another one on the same worker. A Recorder
// beside each worker measures run times against estimates and what ran beside them; a Table merges these sums at each entry
// and decides which kinds interfere. Both do no I/O and read no clock. See docs/design/interference.md.
package interference

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lavendercourse/lavendercourse/clock"
)

const (
	// MaxRecorderKinds is the number of kinds that a Recorder tells apart. With 8 of them, its messages take about a third of
	// what the overhead of a node may be.
	MaxRecorderKinds = 8
	// MaxKinds is the number of kinds that a Table tells apart: those of one service.
	MaxKinds = 16
	// BlockPeriod is the time in ms that the sums of one message cover.
	BlockPeriod = 10 * clock.Second
	// minBlockOrders is the number of orders of a victim below which its sums wait for the next message: centring costs one
	// of them.
	minBlockOrders = 4
	// kindTimeout is the time in ms without runs after which a recorder forgets a kind.
	kindTimeout = clock.Minute
	// maxLogRatio bounds the logarithm of a run time relative to its estimate. Beyond a factor of 12, the estimate is
	// useless or the worker was stalled.
	maxLogRatio = 2.5
	// halfLife is the time in ms after which sums count half. A pair that has ended to interfere is dropped within minutes.
	halfLife = 2 * clock.Minute
	// holdTimeout is the time in ms after which a pair is dropped if it was not confirmed. Kinds that are kept apart give no
	// evidence, so without it a pair would be held for good.
	holdTimeout = 10 * clock.Minute
	// evaluationPeriod is the time in ms between two evaluations.
	evaluationPeriod = clock.Second
	// minFactor is the slow-down from which on keeping kinds apart is worth while: callers notice a tenth at p99.
	minFactor = 1.1
	// holdErrors and dropErrors are the numbers of standard errors by which a pair has to be above minFactor to be held, and
	// below it to be dropped. Each pair is tested every second, so 2 standard errors would hold innocent ones.
	holdErrors = 4
	dropErrors = 2
	// minOrders and minBlocks are the least evidence for a pair. The scatter of fewer blocks is not known well enough.
	minOrders = 60
	minBlocks = 12
	// minPeriods is the least effective number of periods of BlockPeriod for a pair. What slows all workers for some seconds
	// is in blocks that end in up to three periods, and their scatter does not show it. Four full periods give 3.98, as sums
	// fade.
	minPeriods = 3.5
	// shareSteps is the number of steps in which the share of a group is rounded, so that entries whose sums differ a little
	// divide the runners alike.
	shareSteps = 8
)

// Kind identifies a kind of task: the tasks of one queue. 0 means that the kind is not known.
type Kind uint32

// KindOf returns the kind of the tasks of a queue.
func KindOf(queue string) Kind {
	// Equal hashes of two queues would only mix up their sums.
	return Kind(max(uint32(xxhash.Sum64String(queue)), 1))
}

// sumsLength returns the number of products in the sums of a victim with the given number of kinds: the upper triangle of
// the matrix of the presence of each kind, the load, its square, and the logarithm of the run time.
func sumsLength(kinds int) int { return (kinds + 3) * (kinds + 4) / 2 }

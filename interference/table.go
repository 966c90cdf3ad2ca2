package interference

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// Variables of the sums in a Table: the presence of each of its kinds, then these.
const (
	tableLoad      = MaxKinds
	tableSquare    = MaxKinds + 1
	tableRatio     = MaxKinds + 2
	tableVariables = MaxKinds + 3
)

const (
	// minVariation is the least sum of squared deviations of a variable to be told apart from a constant: the presence of a
	// neighbour in half of ten orders.
	minVariation = 2.5
	// minLoadVariation is the same for the load and its square, whose deviations are smaller.
	minLoadVariation = 0.01
	// maxCondition is the condition number above which variables are taken for dependent and nothing is concluded.
	maxCondition = 1e7
	// maxBlockOrders bounds the orders in one block. A worker that starts 1,000 runs a second has as many in BlockPeriod.
	maxBlockOrders = 10_000
	// productTolerance allows for the rounding of products to float32, whose relative error is 6e-8.
	productTolerance = 1e-6
	// maxEffect bounds the logarithm of a factor that is shown. Samples are between -maxLogRatio and maxLogRatio.
	maxEffect = 2 * maxLogRatio
)

// Pair is what is known of the effect of one kind of task on another one.
type Pair struct {
	Victim, Neighbour Kind
	// Factor is the estimated run time of the victim beside the neighbour, relative to that without it. Low and High bound
	// it by two standard errors.
	Factor, Low, High float64
	// Orders is the number of orders that the sums hold, Blocks that of the workers and periods that they come from. Both
	// fade with time.
	Orders, Blocks float64
	// Held tells whether the pair is held to interfere, since HeldSince in ms.
	Held      bool
	HeldSince clock.Millis
	// confirmedAt is the time in ms at which the evidence was last sufficient to hold the pair.
	confirmedAt clock.Millis
}

// Apart tells whether the kinds of the pair are kept apart. A kind that slows itself is not: its runs have to go somewhere.
func (p Pair) Apart() bool { return p.Held && p.Victim != p.Neighbour }

// victim holds the sums of the runs of one kind.
type victim struct {
	orders, blocks, work float64
	products             [tableVariables][tableVariables]float64
	// scatter is the sum over blocks of the outer product of their scores, computed with the coefficients beta as of then. The
	// variance of the coefficients follows from it, also if the samples in a block depend on each other.
	scatter [tableVariables][tableVariables]float64
	beta    [tableVariables]float64
	// variation is the variation of the presence of each kind in the current period, squares the sum of the squares of those
	// in the previous ones. A period is BlockPeriod long.
	variation, squares [MaxKinds]float64
	period             clock.Millis
}

// pairKey identifies a pair.
type pairKey struct{ victim, neighbour Kind }

// Table holds what entries learn of the kinds of one service. Its memory is bounded by MaxKinds. It is not safe for
// concurrent use.
type Table struct {
	kinds   []Kind
	victims []*victim
	// lastSeen holds the time in ms of the last sums of each kind.
	lastSeen  []clock.Millis
	pairs     map[pairKey]*Pair
	groups    grouping
	decayedAt clock.Millis
	evaluated clock.Millis
	changed   bool
}

// NewTable returns a table without experience.
func NewTable() *Table { return &Table{pairs: map[pairKey]*Pair{}} }

// Merge adds the sums of a runner. It returns false, and changes nothing, if they are not plausible.
func (t *Table) Merge(now clock.Millis, m message.Mix) bool {
	if !plausible(m) {
		return false
	}
	t.decay(now)
	indexes := make([]int, 0, len(m.Kinds)+3)
	for _, kind := range m.Kinds {
		indexes = append(indexes, t.indexOf(now, Kind(kind)))
	}
	indexes = append(indexes, tableLoad, tableSquare, tableRatio)
	for _, sums := range m.Sums {
		if i := indexes[sums.Victim]; i >= 0 {
			t.victims[i].merge(now, indexes, sums)
			t.changed = true
		}
	}
	return true
}

// plausible tells whether sums have the right form, and whether a worker can have measured them.
func plausible(m message.Mix) bool {
	if len(m.Kinds) == 0 || len(m.Kinds) > MaxRecorderKinds || len(m.Sums) > len(m.Kinds) || slices.Contains(m.Kinds, 0) {
		return false
	}
	for i, kind := range m.Kinds {
		if slices.Contains(m.Kinds[:i], kind) {
			return false
		}
	}
	var victims []int
	for _, s := range m.Sums {
		// The comparisons are false for NaN.
		if s.Victim < 0 || s.Victim >= len(m.Kinds) || slices.Contains(victims, s.Victim) || len(s.Products) != sumsLength(len(m.Kinds)) ||
			!(s.Orders >= 1 && s.Orders <= maxBlockOrders) || !(s.Work >= 0 && s.Work <= math.MaxUint32) {
			return false
		}
		victims = append(victims, s.Victim)
		if !plausibleProducts(s, len(m.Kinds)+3) {
			return false
		}
	}
	return true
}

// plausibleProducts tells whether n variables can have the sums of products: squares are not negative, and no product exceeds
// what the Cauchy-Schwarz inequality allows.
func plausibleProducts(s message.MixSums, n int) bool {
	limit := float64(s.Orders) * maxLogRatio * maxLogRatio
	squares := make([]float64, 0, n)
	for next := 0; len(squares) < n; next += n - len(squares) + 1 {
		square := float64(s.Products[next])
		if !(square >= -productTolerance*limit && square <= limit) {
			return false
		}
		squares = append(squares, max(square, 0))
	}
	next := 0
	for i := range squares {
		for j := i; j < n; j++ {
			if !(math.Abs(float64(s.Products[next])) <= math.Sqrt(squares[i]*squares[j])*(1+productTolerance)+productTolerance*limit) {
				return false
			}
			next++
		}
	}
	return true
}

// indexOf returns the index of a kind, which it assigns if one is free or was not used for kindTimeout and is in no pair,
// or -1.
func (t *Table) indexOf(now clock.Millis, kind Kind) int {
	if i := slices.Index(t.kinds, kind); i >= 0 {
		t.lastSeen[i] = now
		return i
	}
	if len(t.kinds) < MaxKinds {
		t.kinds, t.victims, t.lastSeen = append(t.kinds, kind), append(t.victims, &victim{}), append(t.lastSeen, now)
		return len(t.kinds) - 1
	}
	for i, old := range t.kinds {
		if _, held := t.groups.groupOf(old); held || now-t.lastSeen[i] < kindTimeout {
			continue
		}
		t.removePairs(old)
		t.kinds[i], t.victims[i], t.lastSeen[i] = kind, &victim{}, now
		for _, v := range t.victims {
			for j := range tableVariables {
				v.products[i][j], v.products[j][i], v.scatter[i][j], v.scatter[j][i] = 0, 0, 0, 0
			}
			v.beta[i], v.variation[i], v.squares[i] = 0, 0, 0
		}
		return i
	}
	return -1
}

func (t *Table) removePairs(kind Kind) {
	for key := range t.pairs {
		if key.victim == kind || key.neighbour == kind {
			delete(t.pairs, key)
		}
	}
}

// merge adds a block. indexes holds the index in the table of each variable of the block; variables with a negative one are
// left out.
func (v *victim) merge(now clock.Millis, indexes []int, s message.MixSums) {
	v.beginPeriod(now / BlockPeriod)
	var score [tableVariables]float64
	n := 0
	for a, i := range indexes {
		for _, j := range indexes[a:] {
			p := float64(s.Products[n])
			n++
			if i < 0 || j < 0 {
				continue
			}
			v.products[i][j] += p
			if i != j {
				v.products[j][i] += p
			} else if i < MaxKinds {
				v.variation[i] += p
			}
			if j == tableRatio {
				score[i] += p
				continue
			}
			score[i] -= p * v.beta[j]
			if i != j {
				score[j] -= p * v.beta[i]
			}
		}
	}
	for _, i := range indexes {
		for _, j := range indexes {
			if i >= 0 && j >= 0 && i != tableRatio && j != tableRatio {
				v.scatter[i][j] += score[i] * score[j]
			}
		}
	}
	v.orders += float64(s.Orders)
	v.work += float64(s.Work)
	v.blocks++
}

// beginPeriod ends the current period if it is not the given one.
func (v *victim) beginPeriod(period clock.Millis) {
	if period == v.period {
		return
	}
	v.period = period
	for i, x := range v.variation {
		v.squares[i] += x * x
		v.variation[i] = 0
	}
}

// periodsOf returns the effective number of periods in which the presence of a kind varied: n if it varied alike in n periods,
// and less if most of it was in a few.
func (v *victim) periodsOf(i int) float64 {
	squares := v.squares[i] + v.variation[i]*v.variation[i]
	if squares <= 0 {
		return 0
	}
	return v.products[i][i] * v.products[i][i] / squares
}

// decay lets all sums fade by the time since the last call.
func (t *Table) decay(now clock.Millis) {
	factor := math.Exp2(-float64(now-t.decayedAt) / float64(halfLife))
	if t.decayedAt == 0 {
		factor = 1
	}
	t.decayedAt = now
	for _, v := range t.victims {
		v.orders, v.blocks, v.work = v.orders*factor, v.blocks*factor, v.work*factor
		for i := range MaxKinds {
			v.variation[i] *= factor
			v.squares[i] *= factor * factor
		}
		for i := range tableVariables {
			for j := range tableVariables {
				v.products[i][j] *= factor
				v.scatter[i][j] *= factor
			}
		}
	}
}

// Evaluate updates which pairs are held, at most once in evaluationPeriod. It returns whether it did.
func (t *Table) Evaluate(now clock.Millis) bool {
	if now-t.evaluated < evaluationPeriod {
		return false
	}
	t.evaluated = now
	if t.changed {
		t.changed = false
		for i := range t.victims {
			t.evaluate(now, i)
		}
	}
	for key, p := range t.pairs {
		switch {
		case p.Held && now-p.confirmedAt >= holdTimeout:
			p.Held = false
		case !p.Held && p.Orders < 1:
			delete(t.pairs, key)
		}
	}
	t.groups = t.group()
	return true
}

// evaluate solves the regression of one victim and updates its pairs.
func (t *Table) evaluate(now clock.Millis, i int) {
	v := t.victims[i]
	active := v.activeVariables()
	for n := range t.kinds {
		if p := t.pairs[pairKey{t.kinds[i], t.kinds[n]}]; p != nil {
			p.Orders, p.Blocks = v.orders, v.blocks
		}
	}
	if v.orders < minOrders || v.blocks < minBlocks || len(active) == 0 {
		return
	}
	beta, errors, ok := v.solve(active)
	if !ok {
		return
	}
	v.beta = [tableVariables]float64{}
	for n, a := range active {
		v.beta[a] = beta[n]
		if a >= len(t.kinds) {
			continue
		}
		t.updatePair(now, pairKey{t.kinds[i], t.kinds[a]}, v, v.periodsOf(a), beta[n], errors[n])
	}
}

// updatePair decides whether a pair is held, from the effective number of periods with evidence, the logarithm of its factor
// and the standard error of that.
func (t *Table) updatePair(now clock.Millis, key pairKey, v *victim, periods, effect, stdErr float64) {
	p := t.pairs[key]
	if p == nil {
		p = &Pair{Victim: key.victim, Neighbour: key.neighbour}
		t.pairs[key] = p
	}
	p.Factor, p.Low, p.High = factorOf(effect), factorOf(effect-2*stdErr), factorOf(effect+2*stdErr)
	p.Orders, p.Blocks = v.orders, v.blocks
	threshold := math.Log(minFactor)
	switch {
	case effect-holdErrors*stdErr > threshold && periods >= minPeriods:
		if !p.Held {
			p.Held, p.HeldSince = true, now
		}
		p.confirmedAt = now
	case effect+dropErrors*stdErr < threshold:
		p.Held = false
	}
}

// factorOf returns the factor of run time of an effect, which is its logarithm.
func factorOf(effect float64) float64 { return math.Exp(max(-maxEffect, min(effect, maxEffect))) }

// activeVariables returns the variables that vary enough for a conclusion, except the run time.
func (v *victim) activeVariables() []int {
	var active []int
	for i := range tableRatio {
		least := minVariation
		if i >= tableLoad {
			least = minLoadVariation
		}
		if v.products[i][i] >= least {
			active = append(active, i)
		}
	}
	return active
}

// solve returns the coefficients of the given variables and their standard errors. The latter are the larger ones of the
// usual ones, which assume independent samples, and those that follow from the scatter of whole blocks. It returns false if
// the variables depend on each other.
func (v *victim) solve(active []int) (beta, errors []float64, ok bool) {
	n := len(active)
	degrees := v.orders - v.blocks - float64(n)
	if degrees < 1 || v.blocks <= float64(n)+1 {
		return nil, nil, false
	}
	// The variables are scaled to a variation of 1, so that the condition number shows only their dependence.
	products, scatter, rhs, scale := mat.NewSymDense(n, nil), mat.NewSymDense(n, nil), mat.NewVecDense(n, nil), make([]float64, n)
	for a, i := range active {
		scale[a] = math.Sqrt(v.products[i][i])
	}
	for a, i := range active {
		for b, j := range active {
			products.SetSym(a, b, v.products[i][j]/scale[a]/scale[b])
			scatter.SetSym(a, b, v.scatter[i][j]/scale[a]/scale[b])
		}
		rhs.SetVec(a, v.products[i][tableRatio]/scale[a])
	}
	var factors mat.Cholesky
	if !factors.Factorize(products) || !(factors.Cond() < maxCondition) {
		return nil, nil, false
	}
	var solution mat.VecDense
	var inverse mat.SymDense
	var half, robust mat.Dense
	if factors.SolveVecTo(&solution, rhs) != nil || factors.InverseTo(&inverse) != nil {
		return nil, nil, false
	}
	half.Mul(&inverse, scatter)
	robust.Mul(&half, &inverse)
	residual := max(v.products[tableRatio][tableRatio]-mat.Dot(&solution, rhs), 0) / degrees
	correction := v.blocks / (v.blocks - float64(n))
	for a := range active {
		variance := max(residual*inverse.At(a, a), robust.At(a, a)*correction)
		beta = append(beta, solution.AtVec(a)/scale[a])
		errors = append(errors, math.Sqrt(variance)/scale[a])
	}
	return beta, errors, true
}

// Pairs returns what is known of each pair, ordered by victim and neighbour.
func (t *Table) Pairs() []Pair {
	all := make([]Pair, 0, len(t.pairs))
	for _, p := range t.pairs {
		all = append(all, *p)
	}
	slices.SortFunc(all, func(a, b Pair) int {
		if a.Victim != b.Victim {
			return int(int64(a.Victim) - int64(b.Victim))
		}
		return int(int64(a.Neighbour) - int64(b.Neighbour))
	})
	return all
}

// Package admission holds the queue of an entry. It decides which submissions are admitted and which waiting task is
// sent next. It does no I/O, and callers pass in the current time.
package admission

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Defaults and fixed values of the queue.
const (
	// DefaultMaxWaiting is the default of Config.MaxWaiting, in tasks.
	DefaultMaxWaiting = 20_000
	// DefaultPromotionAge is the default of Config.PromotionAge, in ms.
	DefaultPromotionAge = 5 * clock.Second
	// DefaultWeight is the weight of a team without limits of its own.
	DefaultWeight = 1
	// RetryDelay is the time in ms after which a caller whose job was refused for a full queue is told to retry.
	RetryDelay = clock.Second
	// DefaultRunTime is the run time in ms assumed for a task of an unknown kind that declares none.
	DefaultRunTime = 300 * clock.Millis(1)
	// agingRate is the number of ms of remaining work that one ms of waiting makes up for.
	agingRate = 10
)

// Config holds the limits of a queue. Zero values select the defaults.
type Config struct {
	// MaxWaiting is the highest number of waiting tasks per team.
	MaxWaiting int
	// PromotionAge is the waiting time in ms after which a batch job is treated as quick.
	PromotionAge clock.Millis
}

// Limits are the limits of one team at this entry.
type Limits struct {
	// Weight is the team's weight relative to the other teams when they compete for slots. Values below 1 count as 1.
	Weight int
	// MaxRunning is the highest number of tasks that may run at once, this entry's share of the team's quota. 0 means no
	// limit.
	MaxRunning int
}

// Item is a job in the queue.
type Item struct {
	id    lavendercourse.JobID
	team  string
	class lavendercourse.Class
	// waiting is the number of tasks that have not been sent.
	waiting int
	// runTime is the expected run time of one task in ms.
	runTime clock.Millis
	// enqueuedAt is the time at which the job arrived.
	enqueuedAt clock.Millis
}

// NewItem returns the queue item of a job that arrived now. The run time is the expected one of a single task in ms. If
// it is not positive, DefaultRunTime is assumed.
func NewItem(now clock.Millis, id lavendercourse.JobID, team string, class lavendercourse.Class, tasks int, runTime clock.Millis) *Item {
	if runTime <= 0 {
		runTime = DefaultRunTime
	}
	return &Item{id: id, team: team, class: class, waiting: tasks, runTime: runTime, enqueuedAt: now}
}

// ID returns the id of the job.
func (i *Item) ID() lavendercourse.JobID { return i.id }

// Team returns the team of the job.
func (i *Item) Team() string { return i.team }

// Class returns the class of the job.
func (i *Item) Class() lavendercourse.Class { return i.class }

// cost returns the value by which the jobs of a team are ordered, lowest first: the remaining work in ms, minus a
// credit for the time waited. Since all jobs age at the same rate, adding the arrival time gives the same order as
// subtracting the age.
func (i *Item) cost() clock.Millis {
	return clock.Millis(i.waiting)*i.runTime + i.enqueuedAt*agingRate
}

type team struct {
	name   string
	limits Limits
	// items holds the jobs with waiting tasks.
	items []*Item
	// waiting and running are numbers of tasks. Running ones are sent and have not ended.
	waiting int
	running int
	// pass is the virtual time of stride scheduling: it grows by 1/weight with each task that is sent.
	pass float64
}

// Queue holds the jobs with waiting tasks of all teams.
type Queue struct {
	cfg   Config
	teams map[string]*team
	items map[lavendercourse.JobID]*Item
	// waiting is the number of waiting tasks of all teams.
	waiting int
	// pass is the pass of the team whose task was sent last, before that task. A team that becomes active starts from
	// there, so that it gets no credit for the time before.
	pass float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.PromotionAge == 0 {
		cfg.PromotionAge = DefaultPromotionAge
	}
	return &Queue{cfg: cfg, teams: map[string]*team{}, items: map[lavendercourse.JobID]*Item{}}
}

// SetLimits sets the limits of a team.
func (q *Queue) SetLimits(name string, l Limits) {
	q.team(name).limits = l
}

// Admit returns nil if a job with the given number of tasks may enter the queue of a team, and a refusal otherwise. If
// the team has no waiting tasks, a job of any size is admitted, since one larger than the limit could never enter
// otherwise.
func (q *Queue) Admit(name string, tasks int) *lavendercourse.Verdict {
	t := q.teams[name]
	if t == nil || t.waiting == 0 || t.waiting+tasks <= q.cfg.MaxWaiting {
		return nil
	}
	v := lavendercourse.Refusal(lavendercourse.ReasonFull,
		fmt.Sprintf("team %s has %d waiting tasks; the limit is %d", name, t.waiting, q.cfg.MaxWaiting), RetryDelay)
	return &v
}

// Ahead returns the waiting work of the same team, in ms, that would be sent before a job that is not in the queue yet.
func (q *Queue) Ahead(now clock.Millis, item *Item) clock.Millis {
	t := q.teams[item.team]
	if t == nil {
		return 0
	}
	var work clock.Millis
	for _, i := range t.items {
		if q.class(now, i) <= item.class && i.cost() < item.cost() {
			work += clock.Millis(i.waiting) * i.runTime
		}
	}
	return work
}

// Push adds a job to the queue.
func (q *Queue) Push(i *Item) {
	t := q.team(i.team)
	if t.waiting+t.running == 0 {
		t.pass = max(t.pass, q.pass)
	}
	t.items = append(t.items, i)
	t.waiting += i.waiting
	q.waiting += i.waiting
	q.items[i.id] = i
}

// Next returns the job whose task is to be sent next, or nil if there is none. It ignores skipped jobs and teams that
// run as many tasks as they may. It takes the best class first, then the team that goes before the others by its
// weight, then the job of the lowest cost.
func (q *Queue) Next(now clock.Millis, skipped map[lavendercourse.JobID]bool) *Item {
	var best *team
	bestClass := lavendercourse.Class(0)
	for _, t := range q.teams {
		if t.waiting == 0 || (t.limits.MaxRunning > 0 && t.running >= t.limits.MaxRunning) {
			continue
		}
		class, ok := q.teamClass(now, t, skipped)
		if !ok {
			continue
		}
		if best == nil || class < bestClass || (class == bestClass && t.before(best)) {
			best, bestClass = t, class
		}
	}
	if best == nil {
		return nil
	}
	return q.cheapest(now, best, bestClass, skipped)
}

// TaskSent records that one task of a job was sent.
func (q *Queue) TaskSent(i *Item) {
	t := q.team(i.team)
	i.waiting--
	t.waiting--
	q.waiting--
	t.running++
	q.pass = t.pass
	t.pass += 1 / t.weight()
	if i.waiting == 0 {
		q.removeItem(t, i)
	}
}

// TaskReturned records that one sent task of a job waits again, because an agent refused it.
func (q *Queue) TaskReturned(i *Item) {
	t := q.team(i.team)
	t.running--
	i.waiting++
	t.waiting++
	q.waiting++
	if q.items[i.id] == nil {
		t.items = append(t.items, i)
		q.items[i.id] = i
	}
}

// TaskEnded records that one sent task of a team has ended.
func (q *Queue) TaskEnded(name string) {
	t := q.team(name)
	t.running--
	q.deleteIfIdle(name, t)
}

// Remove removes a job and its waiting tasks from the queue, if it is there. Tasks that were sent still count as
// running.
func (q *Queue) Remove(id lavendercourse.JobID) {
	i := q.items[id]
	if i == nil {
		return
	}
	t := q.team(i.team)
	t.waiting -= i.waiting
	q.waiting -= i.waiting
	i.waiting = 0
	q.removeItem(t, i)
	q.deleteIfIdle(i.team, t)
}

// Waiting returns the number of waiting tasks of all teams.
func (q *Queue) Waiting() int { return q.waiting }

// Usage holds the numbers of waiting and running tasks of one team.
type Usage struct {
	Team    string
	Waiting int
	Running int
}

// Usage returns the usage of each team that has waiting or running tasks, in no particular order.
func (q *Queue) Usage() []Usage {
	var usages []Usage
	for name, t := range q.teams {
		if t.waiting+t.running > 0 {
			usages = append(usages, Usage{Team: name, Waiting: t.waiting, Running: t.running})
		}
	}
	return usages
}

// Teams returns the number of teams that the queue keeps in memory.
func (q *Queue) Teams() int { return len(q.teams) }

// Demand returns the number of waiting and running tasks of each team that has any.
func (q *Queue) Demand() map[string]int {
	demand := map[string]int{}
	for name, t := range q.teams {
		if n := t.waiting + t.running; n > 0 {
			demand[name] = n
		}
	}
	return demand
}

// team returns the team with the given name. It adds an unknown one with the default limits.
func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, limits: Limits{Weight: DefaultWeight}}
		q.teams[name] = t
	}
	return t
}

// deleteIfIdle deletes a team without tasks and without limits of its own. Callers choose the names of teams freely, so
// keeping such teams would let the memory grow without bound.
func (q *Queue) deleteIfIdle(name string, t *team) {
	if t.waiting+t.running == 0 && t.limits == (Limits{Weight: DefaultWeight}) {
		delete(q.teams, name)
	}
}

// before reports whether a task of this team is sent before one of another team. The team with fewer running tasks per
// weight goes first, then the one with the lower pass. Without the second rule, a team could starve while fewer slots
// are free than teams compete for them.
func (t *team) before(other *team) bool {
	if x, y := t.runningPerWeight(), other.runningPerWeight(); x != y {
		return x < y
	}
	if t.pass != other.pass {
		return t.pass < other.pass
	}
	return t.name < other.name
}

func (t *team) runningPerWeight() float64 { return float64(t.running) / t.weight() }

func (t *team) weight() float64 { return float64(max(t.limits.Weight, 1)) }

// teamClass returns the best class among the jobs of a team that are not skipped, and false if there is no such job.
// Quick is better than batch.
func (q *Queue) teamClass(now clock.Millis, t *team, skipped map[lavendercourse.JobID]bool) (lavendercourse.Class, bool) {
	best, ok := lavendercourse.ClassBatch, false
	for _, i := range t.items {
		if !skipped[i.id] {
			best, ok = min(best, q.class(now, i)), true
		}
	}
	return best, ok
}

// class returns the class by which a job is scheduled: batch counts as quick after a wait of more than
// Config.PromotionAge.
func (q *Queue) class(now clock.Millis, i *Item) lavendercourse.Class {
	if now-i.enqueuedAt > q.cfg.PromotionAge {
		return lavendercourse.ClassQuick
	}
	return i.class
}

// cheapest returns the job of the lowest cost among those of a team and class that are not skipped.
func (q *Queue) cheapest(now clock.Millis, t *team, class lavendercourse.Class, skipped map[lavendercourse.JobID]bool) *Item {
	var best *Item
	for _, i := range t.items {
		if !skipped[i.id] && q.class(now, i) == class && (best == nil || i.cost() < best.cost()) {
			best = i
		}
	}
	return best
}

// removeItem removes a job from the queue without changing any counts.
func (q *Queue) removeItem(t *team, i *Item) {
	delete(q.items, i.id)
	for n, other := range t.items {
		if other == i {
			t.items = append(t.items[:n], t.items[n+1:]...)
			return
		}
	}
}

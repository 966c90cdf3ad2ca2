// Package admission holds the tasks that wait in an entry. It decides which submissions are let in and which task goes
// next. It is pure.
package admission

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Defaults of Config.
const (
	DefaultQueue  = 20_000
	DefaultAge    = 5 * clock.Second
	DefaultWeight = 1
	DefaultRetry  = clock.Second
	// DefaultRun is the run time in ms assumed for a task of an unknown kind that declares none.
	DefaultRun = 300 * clock.Millis(1)
	// agingShare is the ms of remaining work that one ms of waiting makes up for.
	agingShare = 10
)

// Config holds the limits of a queue. Zero values select the defaults.
type Config struct {
	// Queue is the number of tasks of one team that may wait.
	Queue int
	// Age is the time in ms after which batch work is treated as quick.
	Age clock.Millis
}

// Limits are the limits of one team at this entry.
type Limits struct {
	// Weight is the team's share when teams compete.
	Weight int
	// Share is the number of tasks that may run at once. 0 means no limit.
	Share int
}

// Item is a job with tasks that wait.
type Item struct {
	id       lavendercourse.JobID
	team     string
	class    lavendercourse.Class
	waiting  int
	run      clock.Millis
	enqueued clock.Millis
}

// NewItem describes a job. Run is the expected run time of one task in ms, or 0.
func NewItem(now clock.Millis, id lavendercourse.JobID, team string, class lavendercourse.Class, tasks int, run clock.Millis) *Item {
	if run <= 0 {
		run = DefaultRun
	}
	return &Item{id: id, team: team, class: class, waiting: tasks, run: run, enqueued: now}
}

// ID returns the id of the job.
func (i *Item) ID() lavendercourse.JobID { return i.id }

// Team returns the team of the job.
func (i *Item) Team() string { return i.team }

// Class returns the class of the job.
func (i *Item) Class() lavendercourse.Class { return i.class }

// cost orders the jobs of a team: the work that is left, in ms, less credit for the time waited. Since all jobs age at
// the same rate, the arrival time stands for the age.
func (i *Item) cost() clock.Millis {
	return clock.Millis(i.waiting)*i.run + i.enqueued*agingShare
}

type team struct {
	name    string
	limits  Limits
	items   []*Item
	waiting int
	running int
	// pass grows by 1/weight with each task that was sent.
	pass float64
}

// Queue holds the waiting jobs of all teams.
type Queue struct {
	cfg     Config
	teams   map[string]*team
	items   map[lavendercourse.JobID]*Item
	waiting int
	// pass is that of the team served last. A team that joins starts from there.
	pass float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Queue == 0 {
		cfg.Queue = DefaultQueue
	}
	if cfg.Age == 0 {
		cfg.Age = DefaultAge
	}
	return &Queue{cfg: cfg, teams: map[string]*team{}, items: map[lavendercourse.JobID]*Item{}}
}

// SetLimits sets the limits of a team.
func (q *Queue) SetLimits(name string, l Limits) {
	q.team(name).limits = l
}

// Admit tells whether a job of the given number of tasks may wait. It returns nil if so.
func (q *Queue) Admit(name string, tasks int) *lavendercourse.Verdict {
	t := q.teams[name]
	if t == nil || t.waiting == 0 || t.waiting+tasks <= q.cfg.Queue {
		return nil
	}
	v := lavendercourse.Refusal(lavendercourse.ReasonFull,
		fmt.Sprintf("team %s has %d waiting tasks; the limit is %d", name, t.waiting, q.cfg.Queue), DefaultRetry)
	return &v
}

// Ahead returns the work in ms of the same team that waits and goes before the given new job.
func (q *Queue) Ahead(now clock.Millis, item *Item) clock.Millis {
	t := q.teams[item.team]
	if t == nil {
		return 0
	}
	var work clock.Millis
	for _, i := range t.items {
		if q.class(now, i) <= item.class && i.cost() < item.cost() {
			work += clock.Millis(i.waiting) * i.run
		}
	}
	return work
}

// Push adds a job.
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

// Next returns the job whose task goes next, or nil if none may go. Skipped jobs are passed over.
func (q *Queue) Next(now clock.Millis, skipped map[lavendercourse.JobID]bool) *Item {
	var best *team
	bestClass := lavendercourse.Class(0)
	for _, t := range q.teams {
		if t.waiting == 0 || (t.limits.Share > 0 && t.running >= t.limits.Share) {
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

// Took counts one task of a job as sent.
func (q *Queue) Took(i *Item) {
	t := q.team(i.team)
	i.waiting--
	t.waiting--
	q.waiting--
	t.running++
	q.pass = t.pass
	t.pass += 1 / t.weight()
	if i.waiting == 0 {
		q.drop(t, i)
	}
}

// Returned counts one sent task of a job as waiting again.
func (q *Queue) Returned(i *Item) {
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

// Freed counts one sent task of a team as ended.
func (q *Queue) Freed(name string) {
	t := q.team(name)
	t.running--
	q.forget(name, t)
}

// Remove takes a job's waiting tasks out.
func (q *Queue) Remove(id lavendercourse.JobID) {
	i := q.items[id]
	if i == nil {
		return
	}
	t := q.team(i.team)
	t.waiting -= i.waiting
	q.waiting -= i.waiting
	i.waiting = 0
	q.drop(t, i)
	q.forget(i.team, t)
}

// Waiting returns the number of waiting tasks.
func (q *Queue) Waiting() int { return q.waiting }

// Usage is what one team has in the queue.
type Usage struct {
	Team    string
	Waiting int
	Running int
}

// Usage returns the teams that have waiting or running tasks.
func (q *Queue) Usage() []Usage {
	var all []Usage
	for name, t := range q.teams {
		if t.waiting+t.running > 0 {
			all = append(all, Usage{Team: name, Waiting: t.waiting, Running: t.running})
		}
	}
	return all
}

// Teams returns the number of teams in memory.
func (q *Queue) Teams() int { return len(q.teams) }

// Demand returns for each team the number of tasks that wait or run.
func (q *Queue) Demand() map[string]int {
	demand := map[string]int{}
	for name, t := range q.teams {
		if n := t.waiting + t.running; n > 0 {
			demand[name] = n
		}
	}
	return demand
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, limits: Limits{Weight: DefaultWeight}}
		q.teams[name] = t
	}
	return t
}

// forget drops a team without work and without limits of its own. Callers choose the names of teams freely.
func (q *Queue) forget(name string, t *team) {
	if t.waiting+t.running == 0 && t.limits == (Limits{Weight: DefaultWeight}) {
		delete(q.teams, name)
	}
}

// before tells whether a team goes before another one: the one with fewer running tasks by weight, then the one that was
// served less. Without the second rule, a team could starve where fewer slots are free than teams compete.
func (t *team) before(other *team) bool {
	if x, y := t.lag(), other.lag(); x != y {
		return x < y
	}
	if t.pass != other.pass {
		return t.pass < other.pass
	}
	return t.name < other.name
}

func (t *team) lag() float64 { return float64(t.running) / t.weight() }

func (t *team) weight() float64 { return float64(max(t.limits.Weight, 1)) }

// teamClass returns the highest class among the jobs of a team, and whether there is a job at all.
func (q *Queue) teamClass(now clock.Millis, t *team, skipped map[lavendercourse.JobID]bool) (lavendercourse.Class, bool) {
	best, ok := lavendercourse.Batch, false
	for _, i := range t.items {
		if !skipped[i.id] {
			best, ok = min(best, q.class(now, i)), true
		}
	}
	return best, ok
}

func (q *Queue) class(now clock.Millis, i *Item) lavendercourse.Class {
	if now-i.enqueued > q.cfg.Age {
		return lavendercourse.Quick
	}
	return i.class
}

func (q *Queue) cheapest(now clock.Millis, t *team, class lavendercourse.Class, skipped map[lavendercourse.JobID]bool) *Item {
	var best *Item
	for _, i := range t.items {
		if !skipped[i.id] && q.class(now, i) == class && (best == nil || i.cost() < best.cost()) {
			best = i
		}
	}
	return best
}

func (q *Queue) drop(t *team, i *Item) {
	delete(q.items, i.id)
	for n, other := range t.items {
		if other == i {
			t.items = append(t.items[:n], t.items[n+1:]...)
			return
		}
	}
}

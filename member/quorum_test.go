package member_test

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/member"
)

// fault is a fault that a simulation injects, to verify that its checks detect it. "" injects none.
type fault string

const (
	// goneTooEarly: an incarnation counts as gone while its lease may still be valid.
	goneTooEarly fault = "gone after 3 s"
	// leaseEndUnnoticed: an entry does not take a new incarnation after its lease has ended.
	leaseEndUnnoticed fault = "lease end unnoticed"
	// noMajority: two entries are enough for a lease, also in a list of four or five.
	noMajority fault = "no majority"
	// startTimeIgnored: an entry that has just started claims that it would have heard from an incarnation.
	startTimeIgnored fault = "start time ignored"
	// ackVersionIgnored: an acknowledgement carries the version of the receiver instead of the sender.
	ackVersionIgnored fault = "version of an acknowledgement ignored"
	// unconfirmedCounted: an entry reports its configuration as confirmed right after a restart.
	unconfirmedCounted fault = "unconfirmed version of a peer counted"
)

// entry is one simulated process.
type entry struct {
	name string
	// offset is the difference in ms between the clock of the entry and that of the simulation.
	offset clock.Millis
	paused bool
	// generation counts the incarnations of the entry.
	generation int
	inc        lavendercourse.Incarnation
	quorum     *member.Quorum
	// list is the index in simulation.lists of the list that the entry knows.
	list    int
	version uint64
}

// inquiry collects the last contacts with an incarnation from all entries.
type inquiry struct {
	asker *entry
	// askerGeneration is the generation of the asking entry; the inquiry is dropped if that has changed since.
	askerGeneration int
	askedAt         clock.Millis
	inc             lavendercourse.Incarnation
	contacts        map[string]member.Contact
}

type packet struct {
	to *entry
	// receiverGeneration is the generation of the receiver; the packet is lost if that has changed since.
	receiverGeneration int
	deliver            func()
}

// simulation is a set of entries with a simulated clock, network and log.
type simulation struct {
	t        *rapid.T
	injected fault
	now      clock.Millis
	entries  []*entry
	// lists holds the lists of entry names that the log has produced, oldest first.
	lists     [][]string
	inFlight  []packet
	inquiries []*inquiry
	gone      map[lavendercourse.Incarnation]bool
	// owners holds the incarnations that have held a lease. Only these issue job ids, so nobody asks about others.
	owners []lavendercourse.Incarnation
	// partitioned holds the pairs of entries that cannot reach each other.
	partitioned map[[2]string]bool
	// goneVerdicts counts the evaluations of inquiries that found an incarnation gone, heldChecks the checks that found a
	// lease held, and freshChecks the checks that found a configuration confirmed by peers.
	goneVerdicts int
	heldChecks   int
	freshChecks  int
	// published is the newest version.
	published uint64
	// majorityAt holds, for each version, the time in ms at which a majority had it.
	majorityAt []clock.Millis
	err        error
}

func newSimulation(t *rapid.T, injected fault) *simulation {
	sim := &simulation{t: t, injected: injected, now: 100 * clock.Second, gone: map[lavendercourse.Incarnation]bool{}, partitioned: map[[2]string]bool{}, majorityAt: []clock.Millis{0}}
	for i := range 3 + sim.pick("entries", 3) {
		e := &entry{name: fmt.Sprint("e", i), offset: clock.Millis(sim.pick("offset", 64) * 977)}
		sim.entries = append(sim.entries, e)
		sim.restart(e)
	}
	sim.lists = [][]string{sim.firstNames(len(sim.entries) - sim.pick("outside", 2))}
	return sim
}

func (sim *simulation) firstNames(n int) []string {
	var firstNames []string
	for _, e := range sim.entries[:n] {
		firstNames = append(firstNames, e.name)
	}
	return firstNames
}

// pick returns 0 to n-1. It draws bit by bit, because rapid prefers the low end of a range.
func (sim *simulation) pick(label string, n int) int {
	value := 0
	for range bits.Len(uint(n-1)) + 2 {
		value <<= 1
		if rapid.Bool().Draw(sim.t, label) {
			value++
		}
	}
	return value % n
}

func (sim *simulation) failf(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

func (sim *simulation) localTime(e *entry) clock.Millis { return sim.now + e.offset }

func (sim *simulation) restart(e *entry) {
	startedAt := sim.localTime(e)
	if sim.injected == startTimeIgnored {
		startedAt -= clock.Minute
	}
	e.quorum = member.NewQuorum(startedAt, member.Config{Name: e.name})
	sim.renewIncarnation(e)
}

func (sim *simulation) renewIncarnation(e *entry) {
	e.generation++
	e.inc = lavendercourse.Incarnation(fmt.Sprintf("%s-%d", e.name, e.generation))
}

func (sim *simulation) listOf(e *entry) []string {
	list := sim.lists[e.list]
	if sim.injected == noMajority && len(list) > 2 {
		return append([]string{e.name}, slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == e.name })[:1]...)
	}
	return list
}

// checkLapse checks the lease, as an entry does after each acknowledgement, list change and tick.
func (sim *simulation) checkLapse(e *entry) {
	if e.quorum.RefreshLease(sim.localTime(e), sim.listOf(e)) && sim.injected != leaseEndUnnoticed {
		sim.renewIncarnation(e)
	}
}

func (sim *simulation) send(from, to *entry, deliver func()) {
	if sim.partitioned[[2]string{min(from.name, to.name), max(from.name, to.name)}] {
		return
	}
	sim.inFlight = append(sim.inFlight, packet{to: to, receiverGeneration: to.generation, deliver: deliver})
}

// sendHeartbeats sends a heartbeat to every other entry.
func (sim *simulation) sendHeartbeats(e *entry) {
	sentAt, inc, receiverGeneration := sim.localTime(e), e.inc, e.generation
	for _, to := range sim.entries {
		if to == e {
			continue
		}
		sim.send(e, to, func() {
			to.quorum.RecordContact(sim.localTime(to), inc)
			peerInc, version, peerConfirmed := to.inc, to.version, to.quorum.ConfirmedSinceStart() || sim.injected == unconfirmedCounted
			sim.inFlight = append(sim.inFlight, packet{to: e, receiverGeneration: receiverGeneration, deliver: func() {
				e.quorum.RecordContact(sim.localTime(e), peerInc)
				if sim.injected == ackVersionIgnored {
					version = e.version
				}
				e.quorum.Acknowledged(to.name, sentAt, version, peerConfirmed)
				sim.checkLapse(e)
			}})
		})
	}
}

// startInquiry asks all other entries for their last contact with an incarnation, unless it is the asking entry's own.
func (sim *simulation) startInquiry(asker *entry, inc lavendercourse.Incarnation) {
	if strings.HasPrefix(string(inc), asker.name+"-") {
		return
	}
	q := &inquiry{asker: asker, askerGeneration: asker.generation, askedAt: sim.localTime(asker), inc: inc, contacts: map[string]member.Contact{}}
	q.contacts[asker.name] = asker.quorum.LastContact(sim.localTime(asker), inc)
	sim.inquiries = append(sim.inquiries, q)
	for _, to := range sim.entries {
		if to == asker {
			continue
		}
		sim.send(asker, to, func() {
			c := to.quorum.LastContact(sim.localTime(to), inc)
			if sim.injected == goneTooEarly {
				c.Age += 7 * clock.Second
			}
			if to.inc == inc {
				c = member.Contact{Known: true}
			}
			sim.send(to, asker, func() { q.contacts[to.name] = c })
		})
	}
}

// checkLeases evaluates all inquiries and reports a failure if an incarnation that was declared gone holds its lease.
func (sim *simulation) checkLeases() {
	for _, q := range sim.inquiries {
		if q.asker.paused || q.asker.generation != q.askerGeneration {
			continue
		}
		if q.asker.quorum.Gone(sim.localTime(q.asker), q.askedAt, sim.lists[q.asker.list], q.contacts) {
			sim.gone[q.inc] = true
			sim.goneVerdicts++
		}
	}
	for _, e := range sim.entries {
		if e.paused {
			continue
		}
		sim.checkLapse(e)
		if !e.quorum.Held(sim.localTime(e), sim.listOf(e)) {
			continue
		}
		sim.heldChecks++
		if !slices.Contains(sim.owners, e.inc) {
			sim.owners = append(sim.owners, e.inc)
		}
		if sim.gone[e.inc] {
			sim.failf("%s holds its lease although it was declared gone", e.inc)
		}
	}
}

// deliverRandom picks a packet and delivers or loses it. With probability 1/8 the packet is kept and can arrive again.
func (sim *simulation) deliverRandom() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.pick("packet", len(sim.inFlight))
	p := sim.inFlight[i]
	if p.to.paused {
		return
	}
	if sim.pick("repeated", 8) != 0 {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	}
	if p.receiverGeneration == p.to.generation && sim.pick("lost", 8) != 0 {
		p.deliver()
	}
}

// changeList appends a list with one entry more or less, once all entries know the current list.
func (sim *simulation) changeList() {
	for _, e := range sim.entries {
		if e.list != len(sim.lists)-1 {
			return
		}
	}
	n := len(sim.lists[len(sim.lists)-1])
	if sim.pick("grow", 2) == 0 {
		n = min(n+1, len(sim.entries))
	} else {
		n = max(n-1, 2)
	}
	sim.lists = append(sim.lists, sim.firstNames(n))
}

// runSecond simulates a second in which all heartbeats between connected entries that are not paused arrive.
func (sim *simulation) runSecond() {
	for _, e := range sim.entries {
		if !e.paused {
			sim.sendHeartbeats(e)
		}
	}
	sim.deliverAll()
	sim.now += clock.Second
}

// deliverAll delivers in order all packets for entries that are not paused.
func (sim *simulation) deliverAll() {
	for i := 0; i < len(sim.inFlight); {
		p := sim.inFlight[i]
		if p.to.paused {
			i++
			continue
		}
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
		if p.receiverGeneration == p.to.generation {
			p.deliver()
		}
	}
}

func (sim *simulation) step() {
	e := sim.entries[sim.pick("entry", len(sim.entries))]
	switch kind := sim.pick("step", 32); {
	case kind < 10:
		for range 1 + sim.pick("seconds", 6) {
			sim.runSecond()
			sim.checkLeases()
		}
	case kind < 14:
		for range 1 + sim.pick("packets", 8) {
			sim.deliverRandom()
		}
	case kind < 16:
		if !e.paused {
			sim.sendHeartbeats(e)
		}
	case kind < 21:
		if len(sim.owners) > 0 && !e.paused {
			sim.startInquiry(e, sim.owners[max(0, len(sim.owners)-1-sim.pick("owner", 4))])
		}
	case kind < 23:
		sim.now += clock.Millis(sim.pick("ms", 32) * 60)
	case kind < 24:
		sim.now += clock.Millis(sim.pick("s", 16)) * clock.Second
	case kind < 26:
		e.paused = !e.paused
	case kind < 27:
		if sim.pick("restart", 3) == 0 {
			sim.restart(e)
			e.paused = false
		}
	case kind < 29:
		other := sim.entries[sim.pick("other", len(sim.entries))]
		pair := [2]string{min(e.name, other.name), max(e.name, other.name)}
		sim.partitioned[pair] = !sim.partitioned[pair]
	case kind < 30:
		sim.changeList()
	case kind < 31:
		if !e.paused && e.list < len(sim.lists)-1 {
			e.list++
		}
	default:
		sim.inFlight = nil
	}
}

// simulateLeases simulates one random history of leases and of inquiries about incarnations.
func simulateLeases(t *rapid.T, injected fault) *simulation {
	sim := newSimulation(t, injected)
	for i := 0; i < 150 && sim.err == nil; i++ {
		sim.step()
		sim.checkLeases()
	}
	return sim
}

// simulateVersions simulates one random history of configuration versions on a fixed list. All entries read the log
// once, at the start; afterwards it is unavailable.
func simulateVersions(t *rapid.T, injected fault) *simulation {
	sim := newSimulation(t, injected)
	list := sim.lists[0]
	for _, e := range sim.entries {
		e.quorum.ConfirmedByLog(sim.localTime(e))
	}
	for i := 0; i < 200 && sim.err == nil; i++ {
		e := sim.entries[sim.pick("entry", len(sim.entries))]
		switch kind := sim.pick("step", 16); {
		case kind < 7:
			for range 1 + sim.pick("packets", 8) {
				sim.deliverRandom()
			}
		case kind < 11:
			sim.sendHeartbeats(e)
		case kind < 13:
			sim.now += clock.Millis(sim.pick("ms", 32) * 30)
		case kind < 14:
			sim.adoptVersion(e, list)
		case kind < 15:
			sim.restartSometimes(e)
		default:
			sim.inFlight = nil
		}
		for _, e := range sim.entries {
			sim.checkFresh(e, list)
		}
	}
	return sim
}

// adoptVersion publishes a version at random, lets the entry adopt any published version from its own upwards, and
// records the time for each version that a majority of the list now has.
func (sim *simulation) adoptVersion(e *entry, list []string) {
	if sim.pick("publish", 3) == 0 {
		sim.published++
	}
	e.version += uint64(sim.pick("versions", int(sim.published-e.version)+1))
	for v := uint64(len(sim.majorityAt)); v <= sim.published; v++ {
		n := 0
		for _, other := range sim.entries[:len(list)] {
			if other.version >= v {
				n++
			}
		}
		if n <= len(list)/2 {
			return
		}
		sim.majorityAt = append(sim.majorityAt, sim.now)
	}
}

// restartSometimes restarts an entry with probability 1/2; it loses its version.
func (sim *simulation) restartSometimes(e *entry) {
	if sim.pick("restart", 2) == 0 {
		sim.restart(e)
		e.version = 0
	}
}

func (sim *simulation) checkFresh(e *entry, list []string) {
	now := sim.localTime(e)
	if !e.quorum.Fresh(now, list, e.version) {
		return
	}
	confirmed := e.quorum.Confirmed(now, list, e.version) - e.offset
	if confirmed > 100*clock.Second {
		sim.freshChecks++
	}
	for v := e.version + 1; v < uint64(len(sim.majorityAt)); v++ {
		if sim.majorityAt[v] < confirmed {
			sim.failf("%s is fresh with version %d, confirmed at %d ms; a majority had version %d at %d ms", e.name, e.version, confirmed, v, sim.majorityAt[v])
		}
	}
}

// Guards against two answers for one job, given because an owner still answers after others have declared it gone.
// Entries pause, restart and lose messages, their clocks differ by a constant, and their lists differ by at most one
// change. Lists that differ by more are a known gap, described on the design page.
func TestLeaseAndGoneNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateLeases(t, "").err; err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an entry that places tasks by an old configuration although a majority has a newer one.
func TestFreshOnlyWithNewestMajorityVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateVersions(t, "").err; err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against checks in the two tests above that never fail, and against histories in which no lease is held, no
// incarnation is declared gone, or no peers confirm the configuration.
func TestQuorumChecksDetectInjectedFaults(t *testing.T) {
	for injected, want := range map[fault]string{
		goneTooEarly: "declared gone", leaseEndUnnoticed: "declared gone", noMajority: "declared gone",
		startTimeIgnored: "declared gone", ackVersionIgnored: "is fresh", unconfirmedCounted: "is fresh",
	} {
		t.Run(string(injected), func(t *testing.T) {
			histories := rapid.Custom(func(t *rapid.T) string {
				if injected == ackVersionIgnored || injected == unconfirmedCounted {
					return fmt.Sprint(simulateVersions(t, injected).err)
				}
				return fmt.Sprint(simulateLeases(t, injected).err)
			})
			for seed := range 2000 {
				if message := histories.Example(seed); strings.Contains(message, want) {
					t.Logf("history %d: %s", seed, message)
					return
				}
			}
			t.Fatal("no history in 2000 violates the checks")
		})
	}
	heldChecks, goneVerdicts, freshChecks := 0, 0, 0
	for seed := range 20 {
		rapid.Custom(func(t *rapid.T) bool {
			sim := simulateLeases(t, "")
			heldChecks, goneVerdicts, freshChecks = heldChecks+sim.heldChecks, goneVerdicts+sim.goneVerdicts, freshChecks+simulateVersions(t, "").freshChecks
			return true
		}).Example(seed)
	}
	t.Logf("20 histories: lease held in %d checks, %d inquiries declared an incarnation gone, %d confirmations by peers", heldChecks, goneVerdicts, freshChecks)
	assert.Assert(t, heldChecks > 100 && goneVerdicts > 100 && freshChecks > 100)
}

// Guards against an incarnation that is declared gone by less than a majority, by entries that started too recently to
// tell, or by contacts so far apart in time that the owner may have held its lease through a different majority at
// each of them.
func TestGoneScenarios(t *testing.T) {
	const limit = member.DefaultGoneAfter
	old, recent := member.Contact{Known: true, Age: limit + 1}, member.Contact{Known: true, Age: limit}
	neverHeard, recentStart := member.Contact{Uptime: limit + 1}, member.Contact{Uptime: limit}
	for _, tc := range []struct {
		name       string
		answerTime clock.Millis
		contacts   []member.Contact
		want       bool
	}{
		{"majority", 0, []member.Contact{old, old, old}, true},
		{"half", 0, []member.Contact{old, old}, false},
		{"heard in time", 0, []member.Contact{old, old, recent, recent}, false},
		{"never heard", 0, []member.Contact{old, neverHeard, neverHeard}, true},
		{"started too recently", 0, []member.Contact{old, old, recentStart}, false},
		{"answers within the margin", member.DefaultGoneAfter - member.DefaultLease, []member.Contact{old, old, old}, true},
		{"answers too far apart", member.DefaultGoneAfter - member.DefaultLease + 1, []member.Contact{old, old, old}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := member.NewQuorum(0, member.Config{Name: "a"})
			list := []string{"a", "b", "c", "d"}
			contacts := map[string]member.Contact{"stranger": old}
			for i, c := range tc.contacts {
				contacts[list[i]] = c
			}
			assert.Equal(t, q.Gone(limit+tc.answerTime, limit, list, contacts), tc.want)
		})
	}
}

// Guards against a lease that survives a pause because acknowledgements arrive before its end is noticed, and against
// acknowledgements of an old incarnation that count for the new one.
func TestLapseScenarios(t *testing.T) {
	const at = 100 * clock.Second
	list := []string{"a", "b", "c"}
	q := member.NewQuorum(at, member.Config{Name: "a"})
	assert.Assert(t, !q.RefreshLease(at, list) && !q.Held(at, list), "no heartbeat was acknowledged")
	q.Acknowledged("b", at, 0, true)
	assert.Assert(t, !q.RefreshLease(at, list) && q.Held(at, list))
	assert.Assert(t, q.Held(at+member.DefaultLease, list))
	// The entry was paused. The heartbeat that it sends on resuming is acknowledged before it checks its lease.
	late := at + 20*clock.Second
	q.Acknowledged("b", late, 0, true)
	assert.Assert(t, !q.Held(late, list), "the lease ended during the pause")
	assert.Assert(t, q.RefreshLease(late, list))
	assert.Assert(t, !q.RefreshLease(late, list) && !q.Held(late, list), "the acknowledged heartbeat carried the old incarnation")
	q.Acknowledged("b", late, 0, true)
	assert.Assert(t, !q.Held(late, list), "a repeated acknowledgement of that heartbeat")
	q.Acknowledged("b", late+1, 0, true)
	assert.Assert(t, !q.RefreshLease(late+1, list) && q.Held(late+1, list))
}

// Guards against a publish that is reported as accepted before a majority has the version, and against counting a
// version that a peer reported before it restarted.
func TestMajorityHasScenarios(t *testing.T) {
	list := []string{"a", "b", "c", "d"}
	q := member.NewQuorum(0, member.Config{Name: "a"})
	q.SetPeerVersion("b", 5)
	assert.Assert(t, !q.MajorityHas(list, 5), "only half of the list has version 5")
	assert.Equal(t, q.NewestPeer(list, 4), "b")
	assert.Equal(t, q.NewestPeer(list, 5), "")
	q.SetPeerVersion("c", 6)
	assert.Assert(t, q.MajorityHas(list, 5) && !q.MajorityHas(list, 6))
	assert.Equal(t, q.NewestPeer(list, 4), "c")
	q.SetPeerVersion("c", 0)
	assert.Assert(t, !q.MajorityHas(list, 5), "c has restarted")
}

// Guards against an entry that declares another gone all alone: the first record after an outage of the log removes all
// others from the list, and an entry whose links are cut then is its own majority.
func TestNoLoneVerdictAfterLogOutage(t *testing.T) {
	const at = 100 * clock.Second
	l := member.NewList()
	l.Apply(lavendercourse.Page{Records: []lavendercourse.Record{
		announcedRecord(1, at, "a", false), announcedRecord(2, at, "b", false), announcedRecord(3, at, "c", false),
		announcedRecord(4, at+clock.Minute, "a", false),
	}})
	q := member.NewQuorum(0, member.Config{Name: "a"})
	q.RecordContact(at, "incarnation of c")
	now := at + 11*clock.Second
	contacts := map[string]member.Contact{"a": q.LastContact(now, "incarnation of c")}
	assert.Assert(t, !q.Gone(now, now, l.Names(), contacts), "c is declared gone by %v", l.Names())
}

// Package roster holds the addresses of gateways, as read from the platform's store, received from other gateways, or
// configured as seeds, and decides which of them to dial and when. It does no I/O and reads no clock.
package roster

import (
	"slices"
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

const (
	// fastRetryInterval is the time in ms between the end of a dial and the next one, for the first unreachableDials dials
	// of an address. It is short so that links are made soon after all VMs have lost power. slowRetryInterval is that
	// for later dials.
	fastRetryInterval = 50 * clock.Millis(1)
	slowRetryInterval = 2 * clock.Second
	// minDialTimeout is the time-out in ms of the first dials of an address. It is short because a VM without power does
	// not answer and the kernel retransmits a lost SYN only after 1 s: a new dial reaches a VM that comes back sooner.
	// The time-out grows to maxDialTimeout, so that VMs with a longer round-trip time are reached too.
	minDialTimeout = 100 * clock.Millis(1)
	maxDialTimeout = 1600 * clock.Millis(1)
	// dialsPerTimeout is the number of dials with the same time-out, after which the time-out doubles.
	dialsPerTimeout = 4
	// welcomeTimeout is the time in ms for which a gateway that has accepted a connection is not dialed again while its
	// welcome is missing. A gateway with little CPU to which many processes dial at a time takes longer than
	// fastRetryInterval, and a second link would replace the first.
	welcomeTimeout = clock.Second
	// unreachableDials is the number of dials without a link after which an address counts as unreachable: it is dialed
	// less often and, where the number of links is limited, the next gateway in rank takes its place until it is back.
	unreachableDials = 20
)

// DecodePeers decodes the contents of the stream of gateway addresses, whose keys are names and whose values are
// addresses.
func DecodePeers(c lavendercourse.Contents) []message.Peer {
	peers := make([]message.Peer, 0, len(c.Records))
	for _, rec := range c.Records {
		if len(rec.Value) > 0 {
			peers = append(peers, message.Peer{Name: rec.Key, Address: string(rec.Value)})
		}
	}
	return peers
}

// Config describes this process and its links to gateways.
type Config struct {
	// Name is the name of this process. Gateways are ranked by a hash of it and their own name, so that the links of
	// many processes spread evenly over them.
	Name string
	// Address is the address at which this process accepts links, or empty if it accepts none.
	Address string
	// MaxLinks is the number of gateways to link with. 0 means all.
	MaxLinks int
	// Seeds are addresses to dial as long as no gateway with that address is known by name.
	Seeds []string
}

// dialState describes the dials of an address since its last link was made.
type dialState struct {
	// lastAt is when the last dial began, or when it ended if it has.
	lastAt   clock.Millis
	count    int
	inFlight bool
	// welcomeBy is the time until which the welcome of the gateway is awaited, or 0 if there is no connection.
	welcomeBy clock.Millis
}

// Roster is the list of known gateways and of the links to them. It is not safe for concurrent use.
type Roster struct {
	cfg Config
	// addresses holds the address of each gateway by name.
	addresses map[string]string
	// linked is a set of gateway names.
	linked map[string]bool
	// dials holds the dials by address.
	dials   map[string]dialState
	version int
}

// New returns a roster that knows only its seeds.
func New(cfg Config) *Roster {
	return &Roster{cfg: cfg, addresses: map[string]string{}, linked: map[string]bool{}, dials: map[string]dialState{}}
}

// Learn adds gateways, or updates the addresses of those that are known.
func (r *Roster) Learn(peers []message.Peer) {
	for _, p := range peers {
		if p.Name != "" && p.Address != "" && p.Name != r.cfg.Name && r.addresses[p.Name] != p.Address {
			r.addresses[p.Name] = p.Address
			r.version++
		}
	}
}

// Version increases with each change of the list of gateways.
func (r *Roster) Version() int { return r.version }

// Peers returns the known gateways sorted by name, including this process if it accepts links.
func (r *Roster) Peers() []message.Peer {
	var all []message.Peer
	for name, address := range r.addresses {
		all = append(all, message.Peer{Name: name, Address: address})
	}
	if r.cfg.Address != "" {
		all = append(all, message.Peer{Name: r.cfg.Name, Address: r.cfg.Address})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// AddLink records a link to a gateway and forgets the earlier dials of its address. It returns false if there is a link
// already.
func (r *Roster) AddLink(name string) bool {
	if r.linked[name] {
		return false
	}
	r.linked[name] = true
	delete(r.dials, r.addresses[name])
	return true
}

// RemoveLink records that the link to a gateway has ended.
func (r *Roster) RemoveLink(name string) { delete(r.linked, name) }

// StartDials returns the addresses to dial now and records a dial of each, which the caller must end with Connected or EndDial.
func (r *Roster) StartDials(now clock.Millis) []string {
	names := make([]string, 0, len(r.addresses))
	for name := range r.addresses {
		names = append(names, name)
	}
	ranked := placement.Rank(r.cfg.Name, names)
	if r.cfg.MaxLinks > 0 {
		ranked = r.linkCandidates(ranked)
	}
	var due []string
	// excluded holds the address of this process and those of linked gateways, which may have several names or be seeds.
	excluded := map[string]bool{r.cfg.Address: true}
	for name, address := range r.addresses {
		excluded[address] = excluded[address] || r.linked[name]
	}
	for _, name := range ranked {
		if address := r.addresses[name]; !r.linked[name] && !excluded[address] && r.beginDial(now, address) {
			due = append(due, address)
		}
	}
	for _, address := range r.cfg.Seeds {
		if !excluded[address] && !slices.Contains(due, address) && !r.isKnownAddress(address) && r.beginDial(now, address) {
			due = append(due, address)
		}
	}
	return due
}

// linkCandidates returns the first cfg.MaxLinks gateways in rank that are linked or do not count as unreachable, and the
// unreachable ones that precede the last of them. Those are still dialed: a gateway that was away for longer than its
// first dials took would otherwise never get a link again.
func (r *Roster) linkCandidates(ranked []string) []string {
	var candidates []string
	reachable := 0
	for _, name := range ranked {
		if reachable == r.cfg.MaxLinks {
			break
		}
		if r.linked[name] || r.dials[r.addresses[name]].count < unreachableDials {
			reachable++
		}
		candidates = append(candidates, name)
	}
	return candidates
}

// SurplusLinks returns the linked gateways that are not among the first cfg.MaxLinks linked ones in rank, lowest rank
// first. They took the place of gateways that were unreachable or not known yet.
func (r *Roster) SurplusLinks() []string {
	if r.cfg.MaxLinks == 0 || len(r.linked) <= r.cfg.MaxLinks {
		return nil
	}
	names := make([]string, 0, len(r.linked))
	for name := range r.linked {
		names = append(names, name)
	}
	surplus := placement.Rank(r.cfg.Name, names)[r.cfg.MaxLinks:]
	slices.Reverse(surplus)
	return surplus
}

func (r *Roster) isKnownAddress(address string) bool {
	for _, a := range r.addresses {
		if a == address {
			return true
		}
	}
	return false
}

// beginDial records the start of a dial if the address is due, and reports whether it is.
func (r *Roster) beginDial(now clock.Millis, address string) bool {
	d := r.dials[address]
	interval := fastRetryInterval
	if d.count >= unreachableDials {
		interval = slowRetryInterval
	}
	if d.inFlight || now < d.welcomeBy || (d.count > 0 && now-d.lastAt < interval) {
		return false
	}
	r.dials[address] = dialState{lastAt: now, count: d.count + 1, inFlight: true}
	return true
}

// DialTimeout returns the time-out in ms of the current dial of an address.
func (r *Roster) DialTimeout(address string) clock.Millis {
	timeout := minDialTimeout
	for n := dialsPerTimeout; n < r.dials[address].count && timeout < maxDialTimeout; n += dialsPerTimeout {
		timeout *= 2
	}
	return timeout
}

// Connected records that the dial of an address has led to a connection, on which the welcome is awaited.
func (r *Roster) Connected(now clock.Millis, address string) {
	if d, ok := r.dials[address]; ok {
		d.lastAt, d.inFlight, d.welcomeBy = now, false, now+welcomeTimeout
		r.dials[address] = d
	}
}

// IsConnecting tells whether there is a connection on which the welcome is awaited.
func (r *Roster) IsConnecting(now clock.Millis) bool {
	for _, d := range r.dials {
		if now < d.welcomeBy {
			return true
		}
	}
	return false
}

// EndDial records that the dial of an address has ended without a connection, or that its connection has closed before
// the welcome.
func (r *Roster) EndDial(now clock.Millis, address string) {
	if d, ok := r.dials[address]; ok {
		d.lastAt, d.inFlight, d.welcomeBy = now, false, 0
		r.dials[address] = d
	}
}

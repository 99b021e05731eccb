package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mothcart/core/vm"
)

// step builds the state after one event. It copies what it changes.
type step struct {
	s   State
	now time.Time
	out []Out

	ownMembers  bool
	ownMarks    bool
	viewDirty   bool
	digestDirty bool
}

func (s State) begin(now time.Time) *step {
	t := &step{s: s, now: now}
	t.s.queue = slices.Clone(s.queue)
	t.s.probes = slices.Clone(s.probes)
	t.s.relays = slices.Clone(s.relays)
	if now.Sub(s.lastEvent) > s.params.PauseThreshold {
		t.forgive()
	}
	t.s.lastEvent = now
	return t
}

// forgive follows a pause of this node: missing answers say nothing about the others.
func (t *step) forgive() {
	t.s.probes = nil
	t.s.relays = nil
	t.s.differing = 0
	for id, r := range t.s.members {
		if r.status == Suspect {
			r.since = t.now
			t.setMember(id, r)
		}
	}
}

func (t *step) end() (State, []Out) {
	if t.viewDirty {
		t.rebuildView()
	}
	if t.viewDirty || t.digestDirty {
		t.s.digest = t.s.computeDigest(t.now)
	}
	for i := range t.out {
		t.out[i].Message.Digest = t.s.digest
	}
	return t.s, t.out
}

func (t *step) setMember(id string, r record) {
	if !t.ownMembers {
		t.s.members = maps.Clone(t.s.members)
		t.ownMembers = true
	}
	t.s.members[id] = r
	t.viewDirty = true
}

func (t *step) removeMember(id string) {
	if !t.ownMembers {
		t.s.members = maps.Clone(t.s.members)
		t.ownMembers = true
	}
	delete(t.s.members, id)
	t.viewDirty = true
}

// mark records that a VM of any group is leaving, and spreads it if it is news.
func (t *step) mark(id string, age time.Duration) {
	if _, known := t.s.marks[id]; known || age > t.s.params.MarkRetention {
		return
	}
	if !t.ownMarks {
		t.s.marks = maps.Clone(t.s.marks)
		t.ownMarks = true
	}
	t.s.marks[id] = t.now.Add(-age)
	t.s.marksVersion++
	t.viewDirty = true
	t.spread(Update{ID: id, Status: Leaving, AgeSeconds: uint32(age / time.Second)})
}

func (t *step) rebuildView() {
	vms := make([]vm.VM, 0, len(t.s.members)+1)
	self := t.s.self.WithLeaving(t.s.Leaving(t.s.self.ID))
	vms = append(vms, self)
	for id, r := range t.s.members {
		if r.live() {
			vms = append(vms, r.vm.WithLeaving(t.s.Leaving(id)))
		}
	}
	sortByID(vms)
	if slices.Equal(vms, t.s.view.VMs) {
		return
	}
	t.s.view = View{Self: self, VMs: vms, Version: t.s.view.Version + 1}
	t.s.partners = nil
}

// computeDigest summarizes live members and the leaving marks in the first half of their
// retention. Older marks stay out, so that nodes which forget them at different times agree.
func (s State) computeDigest(now time.Time) uint64 {
	sum := digestOf(s.self.ID, s.incarnation)
	for id, r := range s.members {
		if r.live() {
			sum ^= digestOf(id, r.incarnation)
		}
	}
	for id, at := range s.marks {
		if now.Sub(at) < s.params.MarkRetention/2 {
			sum ^= digestOf(id, 0)
		}
	}
	return sum
}

func digestOf(id string, incarnation uint64) uint64 {
	return (xxhash.Sum64String(id) + incarnation) * 0x9e3779b97f4a7c15
}

// send queues a message with piggybacked updates; the claim against the receiver comes first.
func (t *step) send(to string, m Message) {
	m.Incarnation = t.s.incarnation
	if r, ok := t.s.members[to]; ok && r.status != Alive {
		m.Updates = append(m.Updates, Update{ID: to, Status: r.status, Incarnation: r.incarnation})
	}
	m.Updates = append(m.Updates, t.take()...)
	t.out = append(t.out, Out{To: to, Message: m})
}

// rand returns the generator of the state, which advances with the state.
func (t *step) rand() *rand.Rand { return rand.New(&t.s.rng) }

// pick returns up to n of ids, drawn at random.
func (t *step) pick(ids []string, n int) []string {
	picked := slices.Clone(ids)
	slices.Sort(picked)
	rng := t.rand()
	n = min(n, len(picked))
	for i := range n {
		j := i + rng.IntN(len(picked)-i)
		picked[i], picked[j] = picked[j], picked[i]
	}
	return picked[:n]
}

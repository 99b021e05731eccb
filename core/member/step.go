package member

import (
	"cmp"
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
	digestDirty bool
	// touched names the members whose place in the view may have changed.
	touched []string
	// urgent asks to push updates at once instead of at the next tick.
	urgent bool
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
			again := *r
			again.since = t.now
			t.setMember(id, again)
		}
	}
}

func (t *step) end() (State, []Out) {
	t.updateView()
	if t.digestDirty {
		t.s.digest = t.s.computeDigest(t.now)
	}
	for i := range t.out {
		t.out[i].Message.Digest = t.s.digest
	}
	return t.s, t.out
}

// setMember stores what the node holds of a member and keeps the digest in step.
func (t *step) setMember(id string, r record) {
	t.cloneMembers()
	if old := t.s.members[id]; old.live() {
		t.s.digest ^= digestOf(id, old.incarnation)
	}
	if r.live() {
		t.s.digest ^= digestOf(id, r.incarnation)
	}
	t.s.members[id] = &r
	t.touch(id)
}

// removeMember forgets a dead member.
func (t *step) removeMember(id string) {
	t.cloneMembers()
	delete(t.s.members, id)
}

func (t *step) cloneMembers() {
	if !t.ownMembers {
		t.s.members = maps.Clone(t.s.members)
		t.ownMembers = true
	}
}

// touch notes that the view of id may have changed.
func (t *step) touch(id string) { t.touched = append(t.touched, id) }

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
	t.digestDirty = true
	t.touch(id)
	t.urgent = true
	t.spread(Update{ID: id, Status: Leaving, AgeSeconds: uint32(age / time.Second)})
}

// updateView brings the view in step with the members that were touched.
func (t *step) updateView() {
	old := t.s.view.VMs
	vms := old
	owned := false
	for _, id := range t.touched {
		v, live := t.s.viewOf(id)
		at, found := slices.BinarySearchFunc(vms, id, func(m vm.VM, id string) int { return cmp.Compare(m.ID, id) })
		if (!live && !found) || (live && found && vms[at] == v) {
			continue
		}
		if !owned {
			vms = slices.Clone(old)
			owned = true
		}
		switch {
		case live && found:
			vms[at] = v
		case live:
			vms = slices.Insert(vms, at, v)
		default:
			vms = slices.Delete(vms, at, at+1)
		}
	}
	if slices.Equal(vms, old) {
		return
	}
	self, _ := t.s.viewOf(t.s.self.ID)
	t.s.view = View{Self: self, VMs: vms, Version: t.s.view.Version + 1}
	t.s.partnersStale = true
}

// viewOf returns the VM as it stands in the view, and whether it is live.
func (s State) viewOf(id string) (vm.VM, bool) {
	if id == s.self.ID {
		return s.self.WithLeaving(s.Leaving(id)), true
	}
	r := s.members[id]
	if !r.live() {
		return vm.VM{}, false
	}
	return r.vm.WithLeaving(s.Leaving(id)), true
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

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
	out []Outgoing

	// ownMembers and ownMarks report that the map in s is a copy that the step may modify.
	ownMembers  bool
	ownMarks    bool
	digestDirty bool
	// changed names the VMs whose entry in the view may have changed.
	changed []string
	// urgent asks to push updates at once instead of at the next tick.
	urgent bool
}

func (s State) begin(now time.Time) *step {
	t := &step{s: s, now: now}
	t.s.queue = slices.Clone(s.queue)
	t.s.probes = slices.Clone(s.probes)
	t.s.relays = slices.Clone(s.relays)
	if now.Sub(s.lastEvent) > s.params.PauseThreshold {
		t.resetAfterPause()
	}
	t.s.lastEvent = now
	return t
}

// resetAfterPause drops the open probes and gives suspects the full time to refute again. After a pause of
// this node, missing answers say nothing about the other nodes.
func (t *step) resetAfterPause() {
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

func (t *step) end() (State, []Outgoing) {
	t.updateView()
	if t.digestDirty {
		t.s.digest = t.s.computeDigest(t.now)
	}
	for i := range t.out {
		t.out[i].Message.Digest = t.s.digest
	}
	return t.s, t.out
}

// setMember stores the record of a member and updates the digest.
func (t *step) setMember(id string, r record) {
	t.cloneMembers()
	if old := t.s.members[id]; old.live() {
		t.s.digest ^= digestOf(id, old.incarnation)
	}
	if r.live() {
		t.s.digest ^= digestOf(id, r.incarnation)
	}
	t.s.members[id] = &r
	t.noteChanged(id)
}

// removeMember removes the record of a dead member.
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

// noteChanged records that the entry of id in the view may have changed.
func (t *step) noteChanged(id string) { t.changed = append(t.changed, id) }

// markLeaving records that a VM of any group is leaving, and queues an update if it was not marked yet.
// A mark older than MarkRetention is ignored.
func (t *step) markLeaving(id string, age time.Duration) {
	if _, ok := t.s.marks[id]; ok || age > t.s.params.MarkRetention {
		return
	}
	if !t.ownMarks {
		t.s.marks = maps.Clone(t.s.marks)
		t.ownMarks = true
	}
	t.s.marks[id] = t.now.Add(-age)
	t.s.marksVersion++
	t.digestDirty = true
	t.noteChanged(id)
	t.urgent = true
	t.queueUpdate(Update{ID: id, Status: Leaving, AgeSeconds: uint32(age / time.Second)})
}

// updateView updates the view for the VMs in changed.
func (t *step) updateView() {
	old := t.s.view.VMs
	vms := old
	owned := false
	for _, id := range t.changed {
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

// viewOf returns the VM as the view should have it, and whether it is live.
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
// retention. Older marks are left out, so that nodes that remove them at different times have equal digests.
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

// send adds a message with queued updates to the output. If the node considers the receiver suspect or
// dead, the update that says so comes first, so that the receiver can refute it.
func (t *step) send(to string, m Message) {
	m.Incarnation = t.s.incarnation
	if r, ok := t.s.members[to]; ok && r.status != Alive {
		m.Updates = append(m.Updates, Update{ID: to, Status: r.status, Incarnation: r.incarnation})
	}
	m.Updates = append(m.Updates, t.nextUpdates()...)
	t.out = append(t.out, Outgoing{To: to, Message: m})
}

// rand returns the random number generator of the state; drawing from it changes the state.
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

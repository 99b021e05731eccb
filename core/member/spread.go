package member

import (
	"math"
	"slices"
	"time"
)

// queueUpdate queues an update to be sent. It replaces the queued ones about the same VM, but a leaving
// mark and a claim about the status don't replace each other.
func (t *step) queueUpdate(u Update) {
	t.s.queue = slices.DeleteFunc(t.s.queue, func(q queued) bool {
		return q.update.ID == u.ID && (q.update.Status == Leaving) == (u.Status == Leaving)
	})
	t.s.queue = slices.Insert(t.s.queue, 0, queued{update: u})
}

// sendLimit returns the number of times that the node sends one update.
func (t *step) sendLimit() int {
	n := float64(len(t.s.view.VMs))
	return int(math.Ceil(t.s.params.SpreadFactor * math.Log2(n+1)))
}

// nextUpdates returns the updates for one message and counts them as sent.
func (t *step) nextUpdates() []Update {
	n := min(len(t.s.queue), t.s.params.MaxUpdates)
	if n == 0 {
		return nil
	}
	updates := make([]Update, 0, n)
	for i := range n {
		t.s.queue[i].sends++
		updates = append(updates, t.s.queue[i].update)
	}
	limit := t.sendLimit()
	t.s.queue = slices.DeleteFunc(t.s.queue, func(q queued) bool { return q.sends >= limit })
	return updates
}

// pushUpdates sends queued updates to a few partners without waiting for probes.
func (t *step) pushUpdates() {
	if len(t.s.queue) == 0 {
		return
	}
	for _, to := range t.pick(t.s.partners, t.s.params.Fanout) {
		if len(t.s.queue) == 0 {
			return
		}
		t.send(to, Message{Kind: Gossip})
	}
}

// apply records a claim that is newer than the node's own record. A claim of death that arrives by
// synchronization may be outdated. If the node considers the member live, the claim counts as a suspicion,
// which a member that is live refutes.
func (t *step) apply(u Update, fromSync bool) {
	if u.Status == Leaving {
		t.markLeaving(u.ID, time.Duration(u.AgeSeconds)*time.Second)
		return
	}
	if u.Status < Alive || u.Status > Dead || u.ID == "" {
		return
	}
	if u.ID == t.s.self.ID {
		t.refute(u)
		return
	}
	r, exists := t.s.members[u.ID]
	if exists && !newer(u.Incarnation, u.Status, r) {
		return
	}
	if fromSync && u.Status == Dead && exists && r.live() {
		u.Status = Suspect
		if !newer(u.Incarnation, u.Status, r) {
			return
		}
	}
	next := record{incarnation: u.Incarnation, status: u.Status, since: t.now}
	if exists {
		next.vm = r.vm
	}
	switch {
	case u.VM != nil && u.VM.ID == u.ID:
		next.vm = *u.VM
	case u.Status == Alive:
		return
	case !exists:
		listed, ok := t.s.listed[u.ID]
		if !ok {
			return
		}
		next.vm = listed
	}
	t.urgent = t.urgent || (next.vm.Leaving && !t.s.Leaving(u.ID))
	t.setMember(u.ID, next)
	t.queueUpdate(u)
}

func newer(incarnation uint64, status Status, r *record) bool {
	if incarnation != r.incarnation {
		return incarnation > r.incarnation
	}
	return status > r.status
}

// refute answers a claim about the node itself with a higher incarnation, unless the claim is stale or
// true.
func (t *step) refute(u Update) {
	stale := u.Incarnation < t.s.incarnation
	own := u.Incarnation == t.s.incarnation && u.Status == Alive
	if stale || own {
		return
	}
	t.announce(u.Incarnation + 1)
}

// announce queues the node's own description under a new incarnation.
func (t *step) announce(incarnation uint64) {
	t.s.digest ^= digestOf(t.s.self.ID, t.s.incarnation) ^ digestOf(t.s.self.ID, incarnation)
	t.s.incarnation = incarnation
	t.noteChanged(t.s.self.ID)
	t.queueUpdate(t.selfUpdate())
}

func (t *step) selfUpdate() Update {
	self := t.s.self
	return Update{ID: self.ID, Status: Alive, Incarnation: t.s.incarnation, VM: &self}
}

func (r *record) update() Update {
	u := Update{ID: r.vm.ID, Status: r.status, Incarnation: r.incarnation}
	if r.status == Alive {
		v := r.vm
		u.VM = &v
	}
	return u
}

// expireSuspicions declares the suspects dead that did not refute in time.
func (t *step) expireSuspicions() {
	var dead []string
	for id, r := range t.s.members {
		if r.status == Suspect && t.now.Sub(r.since) >= t.s.params.SuspicionTimeout {
			dead = append(dead, id)
		}
	}
	slices.Sort(dead)
	for _, id := range dead {
		t.apply(Update{ID: id, Status: Dead, Incarnation: t.s.members[id].incarnation}, false)
	}
}

// cleanUpInterval is the interval at which old members and leaving marks are removed.
const cleanUpInterval = 10 * time.Second

// cleanUp removes dead members and leaving marks that are past their retention and whose VMs the VM list
// no longer has.
func (t *step) cleanUp() {
	if t.now.Before(t.s.nextCleanUp) {
		return
	}
	t.s.nextCleanUp = t.now.Add(cleanUpInterval)
	for id, r := range t.s.members {
		if _, listed := t.s.listed[id]; !listed && r.status == Dead && t.now.Sub(r.since) > t.s.params.DeadRetention {
			t.removeMember(id)
		}
	}
	marks := make(map[string]time.Time, len(t.s.marks))
	for id, at := range t.s.marks {
		if _, listed := t.s.listed[id]; listed || t.now.Sub(at) <= t.s.params.MarkRetention {
			marks[id] = at
		}
	}
	t.s.marks = marks
	t.ownMarks = true
}

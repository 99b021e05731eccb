package member

import (
	"math"
	"slices"
	"time"
)

// spread queues an update in place of older ones about the same VM.
func (t *step) spread(u Update) {
	t.s.queue = slices.DeleteFunc(t.s.queue, func(q queued) bool {
		return q.update.ID == u.ID && (q.update.Status == Leaving) == (u.Status == Leaving)
	})
	t.s.queue = slices.Insert(t.s.queue, 0, queued{update: u})
}

// spreadLimit is the number of times that the node sends one update.
func (t *step) spreadLimit() int {
	n := float64(len(t.s.view.VMs))
	return int(math.Ceil(t.s.params.SpreadFactor * math.Log2(n+1)))
}

// take returns the updates for one message and counts them as sent.
func (t *step) take() []Update {
	n := min(len(t.s.queue), t.s.params.MaxUpdates)
	if n == 0 {
		return nil
	}
	updates := make([]Update, 0, n)
	for i := range n {
		t.s.queue[i].sends++
		updates = append(updates, t.s.queue[i].update)
	}
	limit := t.spreadLimit()
	t.s.queue = slices.DeleteFunc(t.s.queue, func(q queued) bool { return q.sends >= limit })
	return updates
}

// push sends fresh updates to a few partners without waiting for probes.
func (t *step) push() {
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

// apply takes over a claim that is newer than what the node holds. A claim of death that comes by
// synchronization is old news and counts as a suspicion, which a live member refutes.
func (t *step) apply(u Update, fromSync bool) {
	if u.Status == Leaving {
		t.mark(u.ID, time.Duration(u.AgeSeconds)*time.Second)
		return
	}
	if u.Status < Alive || u.Status > Dead || u.ID == "" {
		return
	}
	if u.ID == t.s.self.ID {
		t.refute(u)
		return
	}
	r, known := t.s.members[u.ID]
	if known && !newer(u.Incarnation, u.Status, r) {
		return
	}
	if fromSync && u.Status == Dead && known && r.live() {
		u.Status = Suspect
		if !newer(u.Incarnation, u.Status, r) {
			return
		}
	}
	next := record{incarnation: u.Incarnation, status: u.Status, since: t.now}
	if known {
		next.vm = r.vm
	}
	switch {
	case u.VM != nil && u.VM.ID == u.ID:
		next.vm = *u.VM
	case u.Status == Alive:
		return
	case !known:
		listed, ok := t.s.listed[u.ID]
		if !ok {
			return
		}
		next.vm = listed
	}
	t.urgent = t.urgent || (next.vm.Leaving && !t.s.Leaving(u.ID))
	t.setMember(u.ID, next)
	t.spread(u)
}

func newer(incarnation uint64, status Status, r *record) bool {
	if incarnation != r.incarnation {
		return incarnation > r.incarnation
	}
	return status > r.status
}

// refute answers a claim about the node itself.
func (t *step) refute(u Update) {
	stale := u.Incarnation < t.s.incarnation
	own := u.Incarnation == t.s.incarnation && u.Status == Alive
	if stale || own {
		return
	}
	t.announce(u.Incarnation + 1)
}

// announce spreads the node's own description under a new incarnation.
func (t *step) announce(incarnation uint64) {
	t.s.digest ^= digestOf(t.s.self.ID, t.s.incarnation) ^ digestOf(t.s.self.ID, incarnation)
	t.s.incarnation = incarnation
	t.touch(t.s.self.ID)
	t.spread(t.selfUpdate())
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

// cleanUpInterval is the time between two searches for what can be forgotten.
const cleanUpInterval = 10 * time.Second

// cleanUp forgets dead members and leaving marks of VMs that the list no longer holds.
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

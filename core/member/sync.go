package member

import (
	"slices"
	"time"
)

// syncIfUnknown synchronizes with the sender of m if the node does not consider it live under the
// incarnation of m or a higher one.
func (t *step) syncIfUnknown(from string, m Message) {
	r, ok := t.s.members[from]
	if ok && r.live() && r.incarnation >= m.Incarnation {
		return
	}
	if t.now.Sub(t.s.lastSync) >= t.s.params.TickInterval {
		t.sendSync(from)
	}
}

// compareDigest starts a synchronization when the digests of partners keep differing. It ignores a few
// differences, because digests differ briefly while an update spreads.
func (t *step) compareDigest(from string, m Message) {
	if m.Digest == t.s.digest {
		t.s.differing = max(0, t.s.differing-1)
		return
	}
	t.s.differing++
	if t.s.differing < t.s.params.DifferLimit || t.now.Sub(t.s.lastSync) < t.s.params.SyncInterval {
		return
	}
	t.s.differing = 0
	t.sendSync(from)
}

// sendSync sends the node's own description and a summary of the members and leaving marks that it knows.
func (t *step) sendSync(to string) {
	t.s.lastSync = t.now
	m := Message{Kind: Sync, Incarnation: t.s.incarnation, Updates: []Update{t.selfUpdate()}}
	for id, r := range t.s.members {
		m.Entries = append(m.Entries, Entry{ID: id, Status: r.status, Incarnation: r.incarnation})
	}
	for id, at := range t.s.marks {
		if t.now.Sub(at) < t.s.params.MarkRetention/2 {
			m.Entries = append(m.Entries, Entry{ID: id, Status: Leaving, Incarnation: uint64(t.now.Sub(at) / time.Second)})
		}
	}
	slices.SortFunc(m.Entries, func(a, b Entry) int {
		if a.ID < b.ID || (a.ID == b.ID && a.Status < b.Status) {
			return -1
		}
		return 1
	})
	t.out = append(t.out, Outgoing{To: to, Message: m})
}

// answerSync sends the sender of m the updates that it lacks, and asks for those that the node itself lacks.
func (t *step) answerSync(from string, m Message) {
	reply := Message{Kind: SyncReply, Incarnation: t.s.incarnation, Updates: []Update{t.selfUpdate()}}
	theirs := make(map[string]Entry, len(m.Entries))
	theirMarks := map[string]bool{}
	for _, e := range m.Entries {
		if e.Status == Leaving {
			theirMarks[e.ID] = true
			t.markLeaving(e.ID, time.Duration(e.Incarnation)*time.Second)
			continue
		}
		theirs[e.ID] = e
		reply.Want = t.applyEntry(e, reply.Want)
	}
	for id, r := range t.s.members {
		e, ok := theirs[id]
		if id != from && (!ok || newer(r.incarnation, r.status, &record{incarnation: e.Incarnation, status: e.Status})) {
			reply.Updates = append(reply.Updates, r.update())
		}
	}
	if r, ok := t.s.members[from]; ok && r.status != Alive {
		reply.Updates = append(reply.Updates, r.update())
	}
	for id, at := range t.s.marks {
		age := t.now.Sub(at)
		if !theirMarks[id] && age < t.s.params.MarkRetention/2 {
			reply.Updates = append(reply.Updates, Update{ID: id, Status: Leaving, AgeSeconds: uint32(age / time.Second)})
		}
	}
	slices.SortFunc(reply.Updates[1:], func(a, b Update) int {
		if a.ID < b.ID || (a.ID == b.ID && a.Status < b.Status) {
			return -1
		}
		return 1
	})
	t.out = append(t.out, Outgoing{To: from, Message: reply})
}

// applyEntry applies a claim of death or suspicion from a summary. If the entry shows that the sender has a
// newer description of a live member, it appends the member's ID to want.
func (t *step) applyEntry(e Entry, want []string) []string {
	if e.ID == t.s.self.ID {
		t.refute(Update{ID: e.ID, Status: e.Status, Incarnation: e.Incarnation})
		return want
	}
	r, ok := t.s.members[e.ID]
	if ok && !newer(e.Incarnation, e.Status, r) {
		return want
	}
	if e.Status == Alive {
		return append(want, e.ID)
	}
	t.apply(Update{ID: e.ID, Status: e.Status, Incarnation: e.Incarnation}, true)
	return want
}

// pushWanted sends the updates that a SyncReply asked for.
func (t *step) pushWanted(to string, m Message) {
	if len(m.Want) == 0 {
		return
	}
	push := Message{Kind: SyncPush, Incarnation: t.s.incarnation}
	for _, id := range m.Want {
		if r, ok := t.s.members[id]; ok {
			push.Updates = append(push.Updates, r.update())
		}
	}
	t.out = append(t.out, Outgoing{To: to, Message: push})
}

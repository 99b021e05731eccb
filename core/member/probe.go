package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mothcart/core/vm"
)

// maxRelays bounds the indirect probes that a node makes for others at one time.
const maxRelays = 64

// choosePartners updates the partners after a change of the view, and replaces a random one at each
// RotateInterval.
func (t *step) choosePartners() {
	p := t.s.params
	if t.now.After(t.s.nextRotate) {
		t.s.nextRotate = t.now.Add(p.RotateInterval)
		t.s.random = slices.Clone(t.s.random[min(1, len(t.s.random)):])
		t.s.partnersStale = true
	}
	if !t.s.partnersStale || len(t.s.view.VMs) < 2 || (len(t.s.partners) > 0 && t.now.Before(t.s.nextChoose)) {
		return
	}
	t.s.partnersStale = false
	t.s.nextChoose = t.now.Add(p.ChooseInterval)
	ring := t.ring()
	partners := slices.Clone(ring[:min(p.RingPartners, len(ring))])
	rest := ring[len(partners):]
	t.s.random = slices.DeleteFunc(slices.Clone(t.s.random), func(id string) bool { return !slices.Contains(rest, id) })
	t.s.random = t.s.random[:min(len(t.s.random), p.RandomPartners)]
	unused := slices.DeleteFunc(slices.Clone(rest), func(id string) bool { return slices.Contains(t.s.random, id) })
	t.s.random = append(t.s.random, t.pick(unused, p.RandomPartners-len(t.s.random))...)
	t.s.partners = append(partners, t.s.random...)
	t.rand().Shuffle(len(t.s.partners), func(i, j int) {
		t.s.partners[i], t.s.partners[j] = t.s.partners[j], t.s.partners[i]
	})
}

// ring returns the other live members in the order of their hashes, starting after the node itself.
func (t *step) ring() []string {
	type point struct {
		hash uint64
		id   string
	}
	points := make([]point, 0, len(t.s.view.VMs))
	for _, m := range t.s.view.VMs {
		if m.ID != t.s.self.ID {
			points = append(points, point{xxhash.Sum64String(m.ID) - xxhash.Sum64String(t.s.self.ID), m.ID})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	ids := make([]string, 0, len(points))
	for _, p := range points {
		ids = append(ids, p.id)
	}
	return ids
}

// startProbe sends a direct probe to the next partner, unless that one is not live or has an open probe.
func (t *step) startProbe() {
	if len(t.s.partners) == 0 || t.now.Before(t.s.nextProbe) {
		return
	}
	t.s.nextProbe = t.now.Add(time.Duration(t.s.overload) * t.s.params.TickInterval)
	t.s.cursor = (t.s.cursor + 1) % len(t.s.partners)
	target := t.s.partners[t.s.cursor]
	if !t.s.members[target].live() || slices.ContainsFunc(t.s.probes, func(p probe) bool { return p.target == target }) {
		return
	}
	t.s.sequence++
	t.s.probes = append(t.s.probes, probe{sequence: t.s.sequence, target: target, sentAt: t.now})
	t.send(target, Message{Kind: Ping, Sequence: t.s.sequence})
}

// expireProbes turns overdue direct probes into indirect ones, and suspects the targets of
// overdue indirect ones.
func (t *step) expireProbes() {
	var open []probe
	timeout := t.s.params.AckTimeout * time.Duration(1+t.s.overload)
	for _, p := range t.s.probes {
		switch {
		case t.now.Sub(p.sentAt) < timeout:
			open = append(open, p)
		case !p.indirect:
			t.s.overload = min(t.s.overload+1, t.s.params.MaxOverload)
			p.indirect = true
			p.sentAt = t.now
			open = append(open, p)
			t.probeIndirectly(p)
		default:
			t.suspect(p.target)
		}
	}
	t.s.probes = open
	t.s.relays = slices.DeleteFunc(t.s.relays, func(r relay) bool { return t.now.Sub(r.sentAt) > t.s.params.AckTimeout })
}

// probeIndirectly asks relays to probe the target, and probes it directly once more, on a new connection.
func (t *step) probeIndirectly(p probe) {
	t.send(p.target, Message{Kind: Ping, Sequence: p.sequence})
	// If this node is overloaded, the missing answers are not the fault of the connections, and new
	// ones would add to the load.
	t.out[len(t.out)-1].Fresh = t.s.overload < t.s.params.MaxOverload
	others := slices.DeleteFunc(t.liveIDs(), func(id string) bool { return id == p.target })
	for _, to := range t.pick(others, t.s.params.Relays) {
		t.send(to, Message{Kind: PingRequest, Sequence: p.sequence, Target: p.target})
	}
}

// liveIDs returns live members other than the node itself: only the partners, to which connections are
// open, if there are enough of them to serve as relays, else all.
func (t *step) liveIDs() []string {
	if len(t.s.partners) > t.s.params.Relays {
		return slices.Clone(t.s.partners)
	}
	return slices.DeleteFunc(t.s.view.IDs(), func(id string) bool { return id == t.s.self.ID })
}

func (t *step) suspect(id string) {
	if r, ok := t.s.members[id]; ok && r.status == Alive {
		t.apply(Update{ID: id, Status: Suspect, Incarnation: r.incarnation}, false)
	}
}

// acknowledge ends the probe that m answers, or forwards it to the node that asked for it.
func (t *step) acknowledge(m Message) {
	before := len(t.s.probes)
	t.s.probes = slices.DeleteFunc(t.s.probes, func(p probe) bool { return p.sequence == m.Sequence })
	if len(t.s.probes) < before {
		t.s.overload = max(0, t.s.overload-1)
	}
	i := slices.IndexFunc(t.s.relays, func(r relay) bool { return r.sequence == m.Sequence })
	if i < 0 {
		return
	}
	r := t.s.relays[i]
	t.s.relays = slices.Delete(t.s.relays, i, i+1)
	t.send(r.origin, Message{Kind: Ack, Sequence: r.originSequence})
}

// relayProbe probes the target of a PingRequest for its sender.
func (t *step) relayProbe(from string, m Message) {
	if _, ok := t.s.members[m.Target]; !ok || len(t.s.relays) >= maxRelays {
		return
	}
	t.s.sequence++
	t.s.relays = append(t.s.relays, relay{sequence: t.s.sequence, origin: from, originSequence: m.Sequence, sentAt: t.now})
	t.send(m.Target, Message{Kind: Ping, Sequence: t.s.sequence})
}

// reprobe pings a listed entry VM that is not live: it may be new, restarted or reachable again after a
// network partition.
func (t *step) reprobe() {
	if !t.s.joined || t.now.Before(t.s.nextReprobe) {
		return
	}
	t.s.nextReprobe = t.now.Add(t.s.params.ReprobeInterval)
	for _, to := range t.pick(t.candidates(), 1) {
		t.s.sequence++
		t.send(to, Message{Kind: Ping, Sequence: t.s.sequence})
	}
}

// candidates returns the listed entry VMs that are not live members.
func (t *step) candidates() []string {
	var ids []string
	for id, v := range t.s.listed {
		if v.Group == vm.EntryGroup && id != t.s.self.ID && !t.s.members[id].live() {
			ids = append(ids, id)
		}
	}
	return ids
}

// join asks listed entry VMs for the members until one answers, or until JoinTimeout.
func (t *step) join() {
	if t.s.joined || t.s.joinSince.IsZero() || t.now.Before(t.s.nextJoin) {
		return
	}
	if t.now.Sub(t.s.joinSince) > t.s.params.JoinTimeout {
		t.s.joined = true
		return
	}
	t.s.nextJoin = t.now.Add(t.s.params.JoinRetry)
	var candidates []string
	for id, v := range t.s.listed {
		if v.Group == vm.EntryGroup && id != t.s.self.ID {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		t.s.joined = true
		return
	}
	for _, to := range t.pick(candidates, t.s.params.Relays) {
		t.sendSync(to)
	}
}

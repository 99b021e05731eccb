// Package member decides which entry VMs are live and which VMs are leaving.
//
// The VM list gives candidates; probes between the nodes determine which of them are live. Each node
// probes a bounded number of partners in turn: successors in hash order, so that every node is probed
// by others, and random ones, so that updates spread fast. A partner that misses a direct probe is probed
// through relays and on a new connection; then it is suspected, and it is dead unless it refutes
// with a higher incarnation in time. Updates are sent with probes and in gossip messages, each a bounded
// number of times. Differing digests in the answers to probes reveal that updates were lost; a
// synchronization then sends them.
//
// Leaving marks of the platform are sticky: once a node has received one, the VM stays leaving. A node
// that drains announces this in its own description, which a restart with a higher incarnation replaces.
//
// A State is immutable: each event returns a new State and the messages to send. It reads no
// clock and its random choices depend on the seed only.
//
// Usage:
//
//	s := member.New(member.NewParams(), self, incarnation, seed, now)
//	s = s.WithList(vms, now)
//	s, out := s.Tick(now)                 // every Params.TickInterval
//	s, out = s.Receive(from, message, now)
//	owner := s.View().Owner("ledger/17")
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mothcart/core/vm"
)

// record is what a node has recorded about another member.
type record struct {
	vm          vm.VM
	incarnation uint64
	status      Status
	// since is the time of the last change of status.
	since time.Time
}

// live reports whether the member belongs to the view; the nil record of an unknown member does not.
func (r *record) live() bool { return r != nil && (r.status == Alive || r.status == Suspect) }

// queued is an update that the node still sends, with the number of messages that had it.
type queued struct {
	update Update
	sends  int
}

// probe is an outstanding probe.
type probe struct {
	sequence uint64
	target   string
	sentAt   time.Time
	indirect bool
}

// relay is a probe made on behalf of another node.
type relay struct {
	sequence       uint64
	origin         string
	originSequence uint64
	sentAt         time.Time
}

// State is the state of one node. Values are immutable and safe for concurrent use.
type State struct {
	params      Params
	self        vm.VM
	incarnation uint64
	rng         rand.PCG
	sequence    uint64
	lastEvent   time.Time

	// members holds the other entry VMs that the node has learned of, by ID.
	members map[string]*record
	// listed holds the VMs of all groups in the last VM list, by ID.
	listed map[string]vm.VM
	// marks holds the times at which VMs were marked as leaving, by ID.
	marks        map[string]time.Time
	marksVersion uint64

	queue    []queued
	probes   []probe
	relays   []relay
	partners []string
	random   []string
	cursor   int
	// partnersStale reports that the partners must be chosen again: the view has changed since, or a
	// random partner was dropped to be replaced.
	partnersStale bool
	// overload grows with each probe of this node that gets no direct answer in time, and falls with
	// each answer. Many missing answers at once suggest a fault of this node rather than of its partners.
	overload int

	joined      bool
	joinSince   time.Time
	nextJoin    time.Time
	nextRotate  time.Time
	nextChoose  time.Time
	nextProbe   time.Time
	nextReprobe time.Time
	lastSync    time.Time
	nextCleanUp time.Time
	// differing counts digests of partners that differed, less those that agreed.
	differing int

	digest uint64
	view   View
}

// New returns the state of a node that knows only itself. The incarnation must be higher than in
// earlier runs of the same VM; the wall-clock time in milliseconds meets this.
func New(p Params, self vm.VM, incarnation, seed uint64, now time.Time) State {
	s := State{
		params:      p,
		self:        self,
		incarnation: incarnation,
		rng:         *rand.NewPCG(seed, incarnation),
		lastEvent:   now,
		members:     map[string]*record{},
		listed:      map[string]vm.VM{},
		marks:       map[string]time.Time{},
	}
	t := s.begin(now)
	t.s.digest = s.computeDigest(now)
	t.noteChanged(self.ID)
	s, _ = t.end()
	return s
}

// View returns the live entry VMs.
func (s State) View() View { return s.view }

// Joined reports whether the node has learned the members from another one, or has found no other.
func (s State) Joined() bool { return s.joined }

// Incarnation returns the node's current incarnation.
func (s State) Incarnation() uint64 { return s.incarnation }

// Leaving reports whether the VM, of any group, is marked as leaving.
func (s State) Leaving(id string) bool {
	if _, ok := s.marks[id]; ok {
		return true
	}
	if id == s.self.ID {
		return s.self.Leaving
	}
	r, ok := s.members[id]
	return ok && r.vm.Leaving
}

// MarksVersion grows with each change of the leaving marks or of the VM list.
func (s State) MarksVersion() uint64 { return s.marksVersion }

// Listed returns the VMs of all groups in the last VM list by ID, with the leaving marks applied.
func (s State) Listed() []vm.VM {
	vms := make([]vm.VM, 0, len(s.listed))
	for _, v := range s.listed {
		vms = append(vms, v.WithLeaving(v.Leaving || s.Leaving(v.ID)))
	}
	sortByID(vms)
	return vms
}

// Address returns the address of an entry VM: the one that it announced, or else the listed one.
func (s State) Address(id string) (string, bool) {
	if r, ok := s.members[id]; ok && r.vm.Address != "" {
		return r.vm.Address, true
	}
	if v, ok := s.listed[id]; ok && v.Group == vm.EntryGroup {
		return v.Address, true
	}
	return "", false
}

// WithList returns the state after a new VM list. VMs that the list no longer has stay members while
// they answer probes, and stay marked as leaving.
func (s State) WithList(vms []vm.VM, now time.Time) State {
	t := s.begin(now)
	t.s.listed = make(map[string]vm.VM, len(vms))
	for _, v := range vms {
		t.s.listed[v.ID] = v
		if v.Leaving {
			t.markLeaving(v.ID, 0)
		}
	}
	t.s.marksVersion++
	if t.s.joinSince.IsZero() {
		t.s.joinSince = now
	}
	s, _ = t.end()
	return s
}

// WithMark returns the state with a VM of any group marked as leaving.
func (s State) WithMark(id string, now time.Time) State {
	t := s.begin(now)
	t.markLeaving(id, 0)
	s, _ = t.end()
	return s
}

// WithDraining returns the state of a node that drains: it announces itself as leaving until its process
// ends, so that its roles move to other nodes.
func (s State) WithDraining(now time.Time) State {
	if s.self.Leaving {
		return s
	}
	t := s.begin(now)
	t.s.self.Leaving = true
	t.announce(t.s.incarnation + 1)
	s, _ = t.end()
	return s
}

// Depart returns the messages that notify the node's partners that it is shutting down.
func (s State) Depart(now time.Time) (State, []Outgoing) {
	t := s.begin(now)
	dead := Update{ID: s.self.ID, Status: Dead, Incarnation: s.incarnation}
	for _, to := range t.s.partners {
		t.out = append(t.out, Outgoing{To: to, Message: Message{Kind: Gossip, Incarnation: s.incarnation, Updates: []Update{dead}}})
	}
	return t.end()
}

// Tick does the work that is due at now: it starts a probe, ends overdue ones and sends updates.
func (s State) Tick(now time.Time) (State, []Outgoing) {
	t := s.begin(now)
	t.expireProbes()
	t.expireSuspicions()
	t.cleanUp()
	t.join()
	t.choosePartners()
	t.startProbe()
	t.reprobe()
	t.pushUpdates()
	// Leaving marks drop out of the digest with age.
	t.digestDirty = len(t.s.marks) > 0
	return t.end()
}

// Receive handles a message from another node.
func (s State) Receive(from string, m Message, now time.Time) (State, []Outgoing) {
	t := s.begin(now)
	if from == s.self.ID {
		return t.end()
	}
	fromSync := m.Kind == SyncReply || m.Kind == SyncPush
	for _, u := range m.Updates {
		t.apply(u, fromSync)
	}
	switch m.Kind {
	case Ping:
		t.send(from, Message{Kind: Ack, Sequence: m.Sequence})
		t.syncIfUnknown(from, m)
	case Ack:
		t.acknowledge(m)
		t.compareDigest(from, m)
		t.syncIfUnknown(from, m)
	case PingRequest:
		t.relayProbe(from, m)
	case Sync:
		t.answerSync(from, m)
	case SyncReply:
		t.s.joined = true
		t.pushWanted(from, m)
	}
	if t.urgent {
		t.pushUpdates()
	}
	return t.end()
}

func sortByID(vms []vm.VM) {
	slices.SortFunc(vms, func(a, b vm.VM) int { return cmp.Compare(a.ID, b.ID) })
}

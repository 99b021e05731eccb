package peer

import (
	"bytes"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/member"
	"mothcart/core/vm"
	"mothcart/io/msgframe"
)

// memberMethod is the method of membership messages, which bypass the receiver's queue of notices.
const memberMethod = "member"

// View returns the live entry VMs.
func (n *Node) View() member.View { return n.state.Load().View() }

// Changed returns a channel that is closed at the next change of the view, of the leaving marks or
// of the VM list. Fetch it anew each time, before reading the state.
func (n *Node) Changed() <-chan struct{} {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	return n.changed
}

// Joined reports whether the node has learned the members from another node, or found no other node.
func (n *Node) Joined() bool { return n.state.Load().Joined() }

// Leaving reports whether the VM, of any group, is marked as leaving; marks are sticky.
func (n *Node) Leaving(id string) bool { return n.state.Load().Leaving(id) }

// VMs returns the VMs of all groups in the last VM list, in order of ID, with the leaving marks received from
// peers applied.
func (n *Node) VMs() []vm.VM { return n.state.Load().Listed() }

// SetList applies a new VM list.
func (n *Node) SetList(vms []vm.VM) {
	n.step(func(s member.State, now time.Time) (member.State, []member.Outgoing) {
		return s.WithList(vms, now), nil
	})
}

// MarkLeaving marks a VM of any group as leaving and spreads the mark to all nodes.
func (n *Node) MarkLeaving(id string) {
	n.step(func(s member.State, now time.Time) (member.State, []member.Outgoing) { return s.WithMark(id, now), nil })
}

// Leave starts to drain the node: other nodes assume its roles, for the rest of its run, while it keeps
// serving.
func (n *Node) Leave() {
	n.step(func(s member.State, now time.Time) (member.State, []member.Outgoing) { return s.WithDraining(now), nil })
}

// announceDeparture notifies the peers that this node ends, if it is draining.
func (n *Node) announceDeparture() {
	if !n.View().Self.Leaving {
		return
	}
	n.step(func(s member.State, now time.Time) (member.State, []member.Outgoing) { return s.Depart(now) })
}

// step applies one event to the membership state and sends the resulting messages.
func (n *Node) step(event func(s member.State, now time.Time) (member.State, []member.Outgoing)) {
	n.stateMu.Lock()
	before := n.state.Load()
	after, out := event(*before, time.Now())
	n.state.Store(&after)
	if after.View().Version != before.View().Version || after.MarksVersion() != before.MarksVersion() {
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.stateMu.Unlock()
	for _, o := range out {
		n.sendMember(o)
	}
}

func (n *Node) sendMember(o member.Outgoing) {
	var b bytes.Buffer
	if err := msgframe.EncodeArrays(&b, o.Message); err != nil {
		n.opts.Logger.Error().Err(err).Msg("memberEncode")
		return
	}
	// A dropped message is the same as a lost probe or update, which the protocol tolerates.
	_ = n.notify(o.To, memberMethod, Control, b.Bytes(), o.Fresh)
}

func decodeMember(body []byte) (member.Message, error) {
	var m member.Message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return member.Message{}, merry.Errorf("decode membership message: %w: %w", msgframe.ErrProtocol, err)
	}
	return m, nil
}

func (n *Node) receiveMember(from string, body []byte) {
	m, err := decodeMember(body)
	if err != nil {
		n.metrics.noticesDropped.Inc(1)
		return
	}
	n.step(func(s member.State, now time.Time) (member.State, []member.Outgoing) { return s.Receive(from, m, now) })
}

func (n *Node) runMembership() {
	t := time.NewTicker(n.opts.Member.TickInterval)
	defer t.Stop()
	for ticks := 1; ; ticks++ {
		select {
		case <-n.closing:
			return
		case <-t.C:
			n.step(member.State.Tick)
			if ticks%sweepTicks == 0 {
				n.sweep(time.Now())
			}
		}
	}
}

// address resolves the address of an entry VM.
func (n *Node) address(id string) (string, bool) { return n.state.Load().Address(id) }

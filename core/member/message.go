package member

import "mothcart/core/vm"

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	// Ping asks for an Ack with the same sequence number.
	Ping Kind = iota + 1
	// Ack answers a Ping, directly or through a relay.
	Ack
	// PingRequest asks a relay to probe Target.
	PingRequest
	// Gossip carries updates only.
	Gossip
	// Sync carries, in Entries, a summary of the members and leaving marks that the sender knows.
	Sync
	// SyncReply answers a Sync with the updates that the sender of the Sync lacks.
	SyncReply
	// SyncPush carries the updates that a SyncReply asked for.
	SyncPush
)

// Status is the state of a member as a node considers it.
type Status uint8

// Statuses. Of two claims with the same incarnation, the one with the greater status prevails.
const (
	// Alive members answer probes.
	Alive Status = iota + 1
	// Suspect members failed a probe and may refute the suspicion.
	Suspect
	// Dead members did not refute a suspicion in time, or announced that they were shutting down.
	Dead
	// Leaving marks a VM of any group that the platform is about to remove. It is not a status of a
	// member: a VM has it in addition to any status.
	Leaving
)

// Update is one claim about the status of a VM, or a leaving mark.
type Update struct {
	ID          string
	Status      Status
	Incarnation uint64
	// AgeSeconds is the age of a leaving mark.
	AgeSeconds uint32
	// VM is the member's own description; only updates with the status Alive have one.
	VM *vm.VM
}

// Entry summarizes one member in a Sync.
type Entry struct {
	ID     string
	Status Status
	// Incarnation is the member's, or the age in seconds of a leaving mark.
	Incarnation uint64
}

// Message is what nodes send each other.
type Message struct {
	Kind     Kind
	Sequence uint64
	// Target is the member that a PingRequest is about.
	Target string
	// Incarnation is the sender's own incarnation.
	Incarnation uint64
	// Digest summarizes the live members and leaving marks that the sender knows.
	Digest  uint64
	Updates []Update
	Entries []Entry
	// Want names the members whose updates the sender of a SyncReply lacks.
	Want []string
}

// Outgoing is a message to send.
type Outgoing struct {
	To      string
	Message Message
	// Fresh asks for a new connection, because the present one may be dead.
	Fresh bool
}

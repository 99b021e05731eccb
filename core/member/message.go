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
	// Sync carries a summary of the sender's knowledge in Entries.
	Sync
	// SyncReply answers a Sync with what the sender of the Sync lacks.
	SyncReply
	// SyncPush carries the updates that a SyncReply wanted.
	SyncPush
)

// Status is what a node holds of a member.
type Status uint8

// Statuses; of two claims with the same incarnation the greater one counts.
const (
	// Alive members answer probes.
	Alive Status = iota + 1
	// Suspect members failed a probe and may refute.
	Suspect
	// Dead members did not refute in time or ended.
	Dead
	// Leaving marks a VM of any group that the platform is about to take away. It is no status of
	// a member; it stands beside it.
	Leaving
)

// Update is one claim about a VM.
type Update struct {
	ID          string
	Status      Status
	Incarnation uint64
	// AgeSeconds is the age of a leaving mark.
	AgeSeconds uint32
	// VM is the member's own description; it comes with Alive only.
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
	// Incarnation is the sender's.
	Incarnation uint64
	// Digest summarizes the live members and leaving marks that the sender knows.
	Digest  uint64
	Updates []Update
	Entries []Entry
	// Want names the members whose updates the sender of a SyncReply lacks.
	Want []string
}

// Out is a message to send.
type Out struct {
	To      string
	Message Message
	// Fresh asks for a new connection, because the present one may be dead.
	Fresh bool
}

package home

import (
	"time"

	"mothcart/core/batch"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/object"
)

// Methods between a node and the home.
const (
	methodHello   = "hello"
	methodAsk     = "ask"
	methodRelease = "release"
	methodReport  = "report"
	methodReserve = "reserve"
	methodRead    = "read"
	methodItem    = "item"
	methodEnded   = "ended"
	methodKept    = "kept"
	methodSubmit  = "submit"
	methodEnd     = "end"
	// methodHandover comes from the home of a later term.
	methodHandover = "handover"
	// methodLearn asks a home node, whether it is the home or not, for its Knowledge.
	methodLearn = "learn"
	// methodFetchProgress asks a node to make a handover for the home, which can't reach the one before.
	methodFetchProgress = "fetchProgress"
	// methodCheckpoint tells a home node how far items are, and methodKeptProgress asks for that.
	methodCheckpoint   = "checkpoint"
	methodKeptProgress = "keptProgress"
	// methodView and methodPeers go from the home to the nodes.
	methodView  = "view"
	methodPeers = "peers"
	// methodAnnounce names the home that has taken over, to nodes that can't read it themselves.
	methodAnnounce = "announce"
	// methodDown tells that the home doesn't reach the object service, or that it does again.
	methodDown = "down"
	// methodUnsure tells that the home can't renew its lease, or that it can again.
	methodUnsure = "unsure"
	// methodRun and methodCancelRun go from the home to the nodes that run items for it.
	methodRun       = "run"
	methodCancelRun = "cancelRun"
)

// helloRequest introduces a node with the slots that it uses.
type helloRequest struct {
	VM          string `msgpack:"vm"`
	Incarnation int64  `msgpack:"inc"`
	// Relay is where the node passes connections on to the home; empty if it doesn't.
	Relay string `msgpack:"relay,omitempty"`
	// Runs reports that the node runs items for the home.
	Runs bool         `msgpack:"runs,omitempty"`
	Open []openedSlot `msgpack:"open"`
}

type openedSlot struct {
	ID       uint64 `msgpack:"id"`
	Service  string `msgpack:"svc"`
	Upstream string `msgpack:"up"`
}

type helloAnswer struct {
	Home Announcement `msgpack:"home"`
}

// askRequest asks for a slot. Times are durations from now, since clocks of VMs differ.
type askRequest struct {
	ID       uint64        `msgpack:"id"`
	Service  string        `msgpack:"svc"`
	Priority int           `msgpack:"prio"`
	Left     time.Duration `msgpack:"left"`
	Wait     time.Duration `msgpack:"wait"`
	Exclude  []string      `msgpack:"excl,omitempty"`
	Zone     string        `msgpack:"zone"`
	// Objective is what is left of the latency objective; nil if the request has none.
	Objective *time.Duration `msgpack:"aim,omitempty"`
}

func (a askRequest) request(now time.Time, owner string) slot.Request {
	r := slot.Request{
		Key: slot.Key{Owner: owner, ID: a.ID}, Service: a.Service, Priority: a.Priority,
		Order: now.Add(a.Left), Deadline: now.Add(a.Wait), Exclude: a.Exclude, AvailabilityZone: a.Zone,
	}
	if a.Objective != nil {
		r.Objective = now.Add(*a.Objective)
	}
	return r
}

type askAnswer struct {
	// Upstream is set if a slot was granted.
	Upstream   *site.Upstream `msgpack:"up,omitempty"`
	Reason     slot.Reason    `msgpack:"why,omitempty"`
	RetryAfter time.Duration  `msgpack:"retry,omitempty"`
}

type releaseNotice struct {
	ID     uint64      `msgpack:"id"`
	Result slot.Result `msgpack:"res"`
}

type reportNotice struct {
	Upstream string `msgpack:"up"`
	Running  int    `msgpack:"run"`
	Waiting  int    `msgpack:"wait"`
}

// reserveRequest asks for room for a job's tokens.
type reserveRequest struct {
	Job    string `msgpack:"job"`
	Host   string `msgpack:"host"`
	Path   string `msgpack:"path"`
	Tokens int64  `msgpack:"tok"`
}

type reserveAnswer struct {
	// Unsure means that the home can't tell now.
	Unsure bool `msgpack:"unsure,omitempty"`
	OK     bool `msgpack:"ok"`
	// Open is the size of all open items of the route.
	Open int64 `msgpack:"open"`
}

type readRequest struct {
	Job   string        `msgpack:"job"`
	After int           `msgpack:"after"`
	Wait  time.Duration `msgpack:"wait"`
}

type readAnswer struct {
	// Known is false if the home does not have the job or can't be sure of its state.
	Known   bool           `msgpack:"known"`
	Total   int            `msgpack:"total"`
	Next    int            `msgpack:"next"`
	Results []batch.Result `msgpack:"res,omitempty"`
}

type itemRequest struct {
	Job  string `msgpack:"job"`
	Item string `msgpack:"item"`
}

type itemAnswer struct {
	Known bool `msgpack:"known"`
	// Ended reports that the job was ended by its owner.
	Ended bool   `msgpack:"ended"`
	Found bool   `msgpack:"found"`
	Body  []byte `msgpack:"body,omitempty"`
}

// keptNotice tells of a job that the object service holds.
type keptNotice struct {
	Job string `msgpack:"job"`
}

type endedNotice struct {
	Job string `msgpack:"job"`
}

// viewNotice tells a node what the home knows of a kind of objects.
type viewNotice struct {
	Kind   string        `msgpack:"kind"`
	Change object.Change `msgpack:"change"`
}

// peersNotice tells a node where it may find a path to the home when its own is cut.
type peersNotice struct {
	Relays []string `msgpack:"relays"`
}

// submitRequest asks the home to write a job, for a node that doesn't reach the object service.
type submitRequest struct {
	ID  string    `msgpack:"id"`
	Job batch.Job `msgpack:"job"`
}

// endRequest asks the home to mark a job as ended.
type endRequest struct {
	Job string `msgpack:"job"`
}

// writeAnswer tells what became of a write.
type writeAnswer struct {
	Outcome writeOutcome `msgpack:"out"`
}

type writeOutcome int

const (
	writeDone writeOutcome = iota + 1
	// writeNotDone means that the write had no effect.
	writeNotDone
	writeUnknown
	writeNotFound
)

type unsureNotice struct {
	Unsure bool `msgpack:"unsure"`
}

type downNotice struct {
	Down bool `msgpack:"down"`
}

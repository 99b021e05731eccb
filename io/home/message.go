package home

import (
	"time"

	"mothcart/core/batch"
	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/core/submission"
	"mothcart/io/object"
)

// Methods between a node and the home.
const (
	methodHello   = "hello"
	methodAsk     = "ask"
	methodRelease = "release"
	// methodInventory lists all open requests of a node.
	methodInventory = "inventory"
	methodReport    = "report"
	// methodBegan reports at which upstream a stream begins, where the request for the slot didn't name it.
	methodBegan = "began"
	// methodOrigins names the software versions at which streams began, in both directions.
	methodOrigins = "origins"
	// methodSilence reports that the upstream of a slot in use is silent, or that it goes on.
	methodSilence = "silence"
	// methodWrote reports that the upstream of a slot in use writes its answer, where a part of the prompt is suspected.
	methodWrote = "wrote"
	// methodLimit reports the rate that an upstream's answer names, or that it names none.
	methodLimit = "limit"
	// methodParts names parts of prompts and requests that are suspected or known to crash upstreams, in both directions.
	methodParts   = "parts"
	methodReserve = "reserve"
	// methodWithdraw ends an attempt to submit a job whose writes had no effect, and asks whether the job may be refused.
	methodWithdraw = "withdraw"
	// methodRefused reports that a caller has been promised that a job does not run.
	methodRefused = "refused"
	methodRead    = "read"
	methodItem    = "item"
	methodEnded   = "ended"
	methodStored  = "kept"
	methodSubmit  = "submit"
	methodEnd     = "end"
	// methodHandover is called by the home of a later term.
	methodHandover = "handover"
	// methodFetchSiteState asks a home node, whether it is the home or not, for its site state.
	methodFetchSiteState = "learn"
	// methodFetchProgress asks a node to make the handover call to the previous home for the present one,
	// which may not reach it.
	methodFetchProgress = "fetchProgress"
	// methodCheckpoint sends checkpoints of items to a home node, and methodFetchCheckpoints asks for them.
	methodCheckpoint       = "checkpoint"
	methodFetchCheckpoints = "keptProgress"
	// methodLeaving names upstreams whose answers said that they are leaving, in both directions.
	methodLeaving = "leaving"
	// methodView sends object changes, and methodRelays the relay list, from the home to the nodes.
	methodView   = "view"
	methodRelays = "peers"
	// methodAnnounce names the home that has taken over, for nodes that can't read the announcement.
	methodAnnounce = "announce"
	// methodObjectsDown reports whether the home can reach the object service.
	methodObjectsDown = "down"
	// methodLeaseUnconfirmed reports whether the home can renew its lease.
	methodLeaseUnconfirmed = "unsure"
	// methodRun and methodCancelRun go from the home to the nodes that run items for it.
	methodRun       = "run"
	methodCancelRun = "cancelRun"
	// methodOpenRuns and methodEndedRun go from a node to the home whose link was silent.
	methodOpenRuns = "openRuns"
	methodEndedRun = "endedRun"
)

// helloRequest identifies a node and lists the slots that it uses.
type helloRequest struct {
	VM          string `msgpack:"vm"`
	Incarnation int64  `msgpack:"inc"`
	// Relay is the address at which the node relays connections to the home; empty if it doesn't.
	Relay string `msgpack:"relay,omitempty"`
	// Runs reports that the node runs items for the home.
	Runs bool         `msgpack:"runs,omitempty"`
	Open []openedSlot `msgpack:"open"`
	// Leaving lists the upstreams of which the node knows that they are leaving.
	Leaving []upstreamKey `msgpack:"leaving,omitempty"`
	// Suspects is what the node knows against parts of prompts and against requests.
	Suspects []poison.Record `msgpack:"parts,omitempty"`
	// Limits are the rates of upstreams that the node knows.
	Limits []limitRecord `msgpack:"limits,omitempty"`
	// Asks reports that the node has had requests of accounts.
	Asks bool `msgpack:"asks,omitempty"`
	// Submissions are the node's attempts to submit jobs that may still store them.
	Submissions []submission.Attempt `msgpack:"subs,omitempty"`
	// Ended are the ends that the node has acknowledged lately.
	Ended []endedNotice `msgpack:"ends,omitempty"`
}

type openedSlot struct {
	ID       uint64 `msgpack:"id"`
	Service  string `msgpack:"svc"`
	Upstream string `msgpack:"up"`
	// Parts and Identity are those of slot.Request.
	Parts    []poison.Part   `msgpack:"parts,omitempty"`
	Identity poison.Identity `msgpack:"identity,omitempty"`
	// Account, Prompt, Output and Expected are those of slot.Request, the latter three in tokens.
	Account  string `msgpack:"acct,omitempty"`
	Prompt   int    `msgpack:"in,omitempty"`
	Output   int    `msgpack:"out,omitempty"`
	Expected int    `msgpack:"hint,omitempty"`
}

type helloAnswer struct {
	Home Announcement `msgpack:"home"`
	// Accounts reports that the home knows client accounts: whose job it is that somebody asks for.
	Accounts bool `msgpack:"accounts,omitempty"`
	// Counted and Open are those of relaysNotice.
	Counted bool        `msgpack:"counted,omitempty"`
	Open    []openCount `msgpack:"open,omitempty"`
}

// askRequest asks for a slot. Times are sent as remaining durations, since clocks of VMs differ.
type askRequest struct {
	ID        uint64        `msgpack:"id"`
	Service   string        `msgpack:"svc"`
	Priority  int           `msgpack:"prio"`
	Remaining time.Duration `msgpack:"left"`
	Wait      time.Duration `msgpack:"wait"`
	Exclude   []string      `msgpack:"excl,omitempty"`
	Zone      string        `msgpack:"zone"`
	// Objective is the remaining time of the latency objective; nil if the request has none.
	Objective *time.Duration `msgpack:"aim,omitempty"`
	// Version, Stream, Continues and Resumes are those of slot.Request.
	Version   string `msgpack:"ver,omitempty"`
	Stream    string `msgpack:"stream,omitempty"`
	Continues bool   `msgpack:"cont,omitempty"`
	Resumes   string `msgpack:"from,omitempty"`
	// Repeatable is that of slot.Request.
	Repeatable bool `msgpack:"rep,omitempty"`
	// Parts and Identity are those of slot.Request.
	Parts    []poison.Part   `msgpack:"parts,omitempty"`
	Identity poison.Identity `msgpack:"identity,omitempty"`
	// Account, Charged, Prompt, Output and Expected are those of slot.Request, the latter three in tokens.
	Account  string `msgpack:"acct,omitempty"`
	Charged  bool   `msgpack:"paid,omitempty"`
	Prompt   int    `msgpack:"in,omitempty"`
	Output   int    `msgpack:"out,omitempty"`
	Expected int    `msgpack:"hint,omitempty"`
	// Paces are those that upstreams of the node's requests have named lately.
	Paces []paceRecord `msgpack:"paces,omitempty"`
}

func (a askRequest) request(now time.Time, owner string) slot.Request {
	r := slot.Request{
		Key: slot.Key{Owner: owner, ID: a.ID}, Service: a.Service, Priority: a.Priority,
		Order: now.Add(a.Remaining), Deadline: now.Add(a.Wait), Exclude: a.Exclude, AvailabilityZone: a.Zone,
		Version: a.Version, Stream: a.Stream, Continues: a.Continues, Resumes: a.Resumes, Repeatable: a.Repeatable, Parts: a.Parts, Identity: a.Identity,
		Account: a.Account, Charged: a.Charged, PromptTokens: a.Prompt, OutputTokens: a.Output, ExpectedTokens: a.Expected,
	}
	if a.Objective != nil {
		r.Objective = now.Add(*a.Objective)
	}
	return r
}

// remainingObjective returns the remaining time of a request's latency objective, nil if it has none.
func remainingObjective(now time.Time, r slot.Request) *time.Duration {
	if r.Objective.IsZero() {
		return nil
	}
	remaining := r.Objective.Sub(now)
	return &remaining
}

type askAnswer struct {
	// Upstream is set if a slot was granted.
	Upstream *site.Upstream `msgpack:"up,omitempty"`
	// Trial is that of slot.Grant.
	Trial bool `msgpack:"trial,omitempty"`
	// BoundBy is that of slot.Request.
	BoundBy slot.BoundBy `msgpack:"by,omitempty"`
	Reason  slot.Reason  `msgpack:"why,omitempty"`
	// Standing is that of the request's account; nil if that has no limit. Homes of earlier releases don't send it.
	Standing   *standing     `msgpack:"acct,omitempty"`
	RetryAfter time.Duration `msgpack:"retry,omitempty"`
	// Percent, AgeMillis and LeftZone are those of slot.Choice.
	Percent   int  `msgpack:"pct,omitempty"`
	AgeMillis int  `msgpack:"age,omitempty"`
	LeftZone  bool `msgpack:"far,omitempty"`
}

// grantAnswer returns the answer to a request that got a slot.
func grantAnswer(g slot.Grant) askAnswer {
	return askAnswer{
		Upstream: &g.Upstream, Trial: g.Trial, BoundBy: g.Request.BoundBy,
		Percent: g.Choice.Percent, AgeMillis: int(g.Choice.FigureAge.Milliseconds()), LeftZone: g.Choice.LeftZone,
	}
}

func (a askAnswer) choice() slot.Choice {
	return slot.Choice{Percent: a.Percent, FigureAge: time.Duration(a.AgeMillis) * time.Millisecond, LeftZone: a.LeftZone}
}

type releaseNotice struct {
	ID     uint64      `msgpack:"id"`
	Result slot.Result `msgpack:"res"`
	// Paces are those that upstreams of the node's requests have named lately.
	Paces []paceRecord `msgpack:"paces,omitempty"`
}

type beganNotice struct {
	Stream  string `msgpack:"stream"`
	Version string `msgpack:"ver"`
}

type silenceNotice struct {
	ID     uint64 `msgpack:"id"`
	Silent bool   `msgpack:"mute,omitempty"`
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
	// Account is that of batch.Job.
	Account string `msgpack:"acct,omitempty"`
	// Attempt is that of submission.Attempt; nodes of earlier releases don't name it.
	Attempt string `msgpack:"try,omitempty"`
}

type reserveAnswer struct {
	// Undecided means that the home can't decide now: it does not know the jobs or has no route.
	Undecided bool `msgpack:"unsure,omitempty"`
	OK        bool `msgpack:"ok"`
	// Open is the size of all open items of the route, in tokens.
	Open int64 `msgpack:"open"`
	// Standing is that of the job if there is no room; the attempt is withdrawn then. Homes of earlier releases don't send it.
	Standing Standing `msgpack:"standing,omitempty"`
}

type readRequest struct {
	Job   string        `msgpack:"job"`
	After int           `msgpack:"after"`
	Wait  time.Duration `msgpack:"wait"`
	// Account is the one that reads.
	Account string `msgpack:"acct,omitempty"`
}

type readAnswer struct {
	// Valid is false if the home does not have the job or can't confirm its state; Unknown tells these apart.
	Valid   bool           `msgpack:"known"`
	Unknown bool           `msgpack:"unknown,omitempty"`
	Total   int            `msgpack:"total"`
	Next    int            `msgpack:"next"`
	Results []batch.Result `msgpack:"res,omitempty"`
}

type itemRequest struct {
	Job  string `msgpack:"job"`
	Item string `msgpack:"item"`
	// Account is the one that reads.
	Account string `msgpack:"acct,omitempty"`
}

type itemAnswer struct {
	Valid bool `msgpack:"known"`
	// Ended reports that the job was ended by its owner.
	Ended bool   `msgpack:"ended"`
	Found bool   `msgpack:"found"`
	Body  []byte `msgpack:"body,omitempty"`
}

// storedNotice reports that the object service has stored a job.
type storedNotice struct {
	Job string `msgpack:"job"`
}

type endedNotice struct {
	Job string `msgpack:"job"`
	// End is empty in notices of earlier releases.
	End End `msgpack:"end,omitempty"`
}

// viewNotice sends a node the objects of a kind, or changes of them.
type viewNotice struct {
	Kind   string        `msgpack:"kind"`
	Change object.Change `msgpack:"change"`
}

// relaysNotice sends a node the addresses of relays through which it may reach the home when it can't
// connect to it directly.
type relaysNotice struct {
	Relays []string `msgpack:"relays"`
	// Nodes is the number of connected nodes, and Limits are all rates of upstreams that the home knows.
	Nodes  int           `msgpack:"nodes,omitempty"`
	Limits []limitRecord `msgpack:"limits,omitempty"`
	// Asking is the number of nodes with requests of accounts.
	Asking int `msgpack:"asking,omitempty"`
	// Counted reports that the home knows the jobs; Open are then all routes and accounts with open items.
	Counted bool        `msgpack:"counted,omitempty"`
	Open    []openCount `msgpack:"open,omitempty"`
}

// openCount is the number of tokens of an account's open items on a route.
type openCount struct {
	Route   string `msgpack:"route"`
	Account string `msgpack:"acct,omitempty"`
	Tokens  int64  `msgpack:"tok"`
}

// submitRequest asks the home to write a job, for a node that can't reach the object service.
type submitRequest struct {
	ID  string    `msgpack:"id"`
	Job batch.Job `msgpack:"job"`
	// Attempt is that of submission.Attempt; nodes of earlier releases don't name it.
	Attempt string `msgpack:"try,omitempty"`
}

// endRequest asks the home to mark a job as ended.
type endRequest struct {
	Job string `msgpack:"job"`
	// Account is the one that ends the job.
	Account string `msgpack:"acct,omitempty"`
	End     End    `msgpack:"end,omitempty"`
}

type leaseUnconfirmedNotice struct {
	Unconfirmed bool `msgpack:"unsure"`
}

type objectsDownNotice struct {
	Down bool `msgpack:"down"`
}

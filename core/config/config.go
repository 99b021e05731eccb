// Package config holds the objects that operators declare, and checks a set of them for errors.
//
// Objects refer to one another by name. A Set is a complete configuration; a Snapshot is a Set that
// was published under a generation. Both are immutable after they are built.
//
// Usage:
//
//	set, problems := config.Parse([]config.File{{Name: "site.ini", Data: data}})
//	problems = append(problems, config.Check(set)...)
//	snapshot := config.NewSnapshot(generation, set)
//	service, ok := snapshot.Service("rota-scribe")
package config

import (
	"cmp"
	"slices"
	"time"
)

// Upstream kinds of a service.
const (
	// KindEngine is a service of model engines.
	KindEngine = "engine"
	// KindPlain is a service of plain HTTP upstreams.
	KindPlain = "plain"
)

// Service is a set of upstreams that callers reach under one name.
type Service struct {
	Name string `json:"name"`
	// Kind is KindEngine or KindPlain.
	Kind string `json:"kind"`
	// ChecksFence reports that the engines refuse orders with a stale fencing token.
	ChecksFence bool `json:"checksFence"`
	// ReportsLoad reports that the upstreams answer load requests.
	ReportsLoad bool `json:"reportsLoad"`
	// Idempotent reports that the calls of a plain service may be repeated by default.
	Idempotent bool `json:"idempotent"`
	// ProgressTimeout is the time without data after which a stream's connection is abandoned.
	ProgressTimeout time.Duration `json:"progressTimeout"`
	// RequestTimeout bounds a request without a deadline of its own.
	RequestTimeout time.Duration `json:"requestTimeout"`
	// RetryBudget is the largest share of requests, from 0 to 1, that may be retries.
	RetryBudget float64 `json:"retryBudget"`
	// MaxConcurrency is the number of requests that one upstream serves at once without queueing.
	MaxConcurrency int `json:"maxConcurrency"`
	// QueueLimit bounds the requests that wait on one VM for each team.
	QueueLimit int `json:"queueLimit"`
	// HarmWeight, from 0 to 1, weighs harm to online latency against batch throughput: 1 avoids
	// all harm, 0 fills all capacity.
	HarmWeight float64 `json:"harmWeight"`
	// BatchShare, from 0 to 0.9, is the share of engines that are for batch first: online requests use
	// them only when the other engines are busy, and the other engines run no batch items. With 0, batch
	// items use the idle capacity of all engines.
	BatchShare float64 `json:"batchShare"`
	// MaxUnavailable is the largest share of upstreams, from 0 to 1, that a rollout may make unavailable.
	MaxUnavailable float64 `json:"maxUnavailable"`
}

// UpstreamGroup assigns the VMs of one label in the VM list to a service.
type UpstreamGroup struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Label is the group name in the VM list.
	Label string `json:"label"`
	// MemoryMiB is the memory of one engine for models and adapters; Check treats 0 as no limit.
	MemoryMiB int `json:"memoryMiB"`
}

// Model is a model that the engines of a service load.
type Model struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Version string `json:"version"`
	// MemoryMiB is the memory that the model uses on an engine.
	MemoryMiB int `json:"memoryMiB"`
	// Replicas is the number of engines that should hold the model; 0 means all of the service.
	Replicas int `json:"replicas"`
}

// Adapter is a variant of a model.
type Adapter struct {
	Name      string `json:"name"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	MemoryMiB int    `json:"memoryMiB"`
}

// Share is a team's guaranteed part of a service, from 0 to 1.
type Share struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
}

// Team is a group of accounts that shares capacity.
type Team struct {
	Name   string  `json:"name"`
	Shares []Share `json:"shares"`
}

// Account is a caller's account.
type Account struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// KeyHash is the SHA-256 of the API key in lower-case hexadecimal.
	KeyHash string `json:"keyHash"`
	// RequestsPerSecond limits the account over all VMs; 0 means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst int `json:"burst"`
}

// Split is one destination of a traffic rule.
type Split struct {
	// Target names a model, an adapter or a plain service.
	Target string `json:"target"`
	// Weight is the destination's part of the sum of weights.
	Weight int `json:"weight"`
}

// Rule sends requests for one name to others by header and weight.
type Rule struct {
	Name string `json:"name"`
	// Match is the model, adapter or plain service that callers ask for.
	Match string `json:"match"`
	// Header and Value restrict the rule to requests with this header; empty matches all.
	Header string `json:"header"`
	Value  string `json:"value"`
	// Priority orders the rules for one name; the highest that matches decides.
	Priority int     `json:"priority"`
	Splits   []Split `json:"splits"`
	// Sticky keeps a caller at one destination while the weights are unchanged.
	Sticky bool `json:"sticky"`
}

// BatchClass holds the limits and the weight that its batch jobs run with.
type BatchClass struct {
	Name string `json:"name"`
	// Team restricts the class to one team; empty allows all.
	Team string `json:"team"`
	// Window is the time from submission within which the job is due.
	Window time.Duration `json:"window"`
	// MaxAttempts bounds the dispatches of one item.
	MaxAttempts int `json:"maxAttempts"`
	// Retention is the time that results stay readable after the job's end.
	Retention time.Duration `json:"retention"`
	// Weight is the class's part when jobs with the same deadline compete.
	Weight int `json:"weight"`
}

// Set is a complete configuration. Each slice is sorted by name.
type Set struct {
	// origins holds the file and line of each object and field; it is nil for a set that was not parsed.
	origins map[fieldRef]origin

	Services       []Service       `json:"services"`
	UpstreamGroups []UpstreamGroup `json:"upstreamGroups"`
	Models         []Model         `json:"models"`
	Adapters       []Adapter       `json:"adapters"`
	Teams          []Team          `json:"teams"`
	Accounts       []Account       `json:"accounts"`
	Rules          []Rule          `json:"rules"`
	BatchClasses   []BatchClass    `json:"batchClasses"`
}

// Normalize returns a copy with objects and shares in the order that Check, Diff and Rebase expect.
func Normalize(set Set) Set {
	for _, k := range kinds {
		k.sort(&set)
	}
	for i, t := range set.Teams {
		set.Teams[i].Shares = slices.Clone(t.Shares)
		sortShares(set.Teams[i].Shares)
	}
	return set
}

func sortShares(shares []Share) {
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.Service, b.Service) })
}

// Count returns the number of objects in the set.
func Count(set Set) int {
	n := 0
	for _, k := range kinds {
		n += len(k.names(&set))
	}
	return n
}

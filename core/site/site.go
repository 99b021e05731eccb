// Package site describes what a deployment serves: the routes and services of one configuration, and
// the upstreams that run the services.
//
// Values are immutable; a new configuration or a changed upstream is a new value.
//
// Usage:
//
//	cfg := site.NewConfig(7, routes, services, limits)
//	route, ok := cfg.Match("desk.example", "/ask/12")
//	service := route.Service(rand.Uint64())
package site

import (
	"slices"
	"strings"
	"time"
)

// Kind says how the requests of a route are run, and whether they may be repeated.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each request ID.
	NonIdempotent Kind = "nonIdempotent"
	// Streaming requests are answered by a series of events; they are idempotent only on routes
	// that can be resumed.
	Streaming Kind = "streaming"
	// Batch routes take jobs of many items that run later.
	Batch Kind = "batch"
)

// Target is one service of a route; Weight sets its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route is one entry of the routing table.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets holds at least one service.
	Targets []Target
	// Timeout bounds the time from the arrival of a request to the end of its answer.
	Timeout time.Duration
	// Objective is the latency objective: for the complete answer, for the first event of a stream, or for
	// the acceptance of a job.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that counts as on time.
	GapObjective time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of upstreams to which one request is sent.
	MaxAttempts int
	// Resumable reports whether another upstream can resume a stream after its last event.
	Resumable bool
	// Completion is the time from the submission of a job to the due time of its results.
	Completion time.Duration
	// MaxWait is the time after which an unfinished item may be abandoned.
	MaxWait time.Duration
	// TokenCap bounds the tokens of all unfinished items of the route, where there are client accounts those of each
	// account; 0 means no bound.
	TokenCap int64
	// Public routes need no key.
	Public bool
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// retryWindow is the time after its first attempt within which a caller is expected to retry. It is four
// times the latency objective, and as long as the longest retry time that a refused caller gets in a wave.
const retryWindow = 2 * time.Second

// Waited estimates how long ago the caller's first attempt was, from the time remaining until the caller's
// deadline: a first attempt has the route's time-out, and a retry has what remains of it. A caller with far
// less time is considered to have set a short deadline, not to have retried.
func (r Route) Waited(remaining time.Duration) time.Duration {
	waited := r.Timeout - remaining
	if remaining <= 0 || waited < 0 || waited > retryWindow {
		return 0
	}
	return waited
}

// Service returns the target that the random number selects by weight.
func (r Route) Service(random uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	n := int(random % uint64(total))
	for _, t := range r.Targets {
		n -= max(t.Weight, 0)
		if n < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of upstreams that run the same requests.
type Service struct {
	Name string
	// MaxConns bounds the connections of all VMs together to one upstream.
	MaxConns int
	// Generates reports whether the upstreams are model engines.
	Generates bool
	// TokenCapacity is the number of tokens that the requests which run at one upstream may hold; 0 means not known.
	TokenCapacity int
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. The zero value holds no route.
type Config struct {
	Version  int64
	Limits   Limits
	Services []Service
	// Accounts are the client accounts; nil if the deployment has none, so that requests need no key.
	Accounts *Accounts
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]Route
}

// NewConfig returns a configuration.
func NewConfig(version int64, routes []Route, services []Service, limits Limits) Config {
	byHost := make(map[string][]Route)
	for _, r := range routes {
		byHost[r.Host] = append(byHost[r.Host], r)
	}
	for _, list := range byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return Config{Version: version, Limits: limits, Services: services, byHost: byHost}
}

// WithAccounts returns the configuration with client accounts.
func (c Config) WithAccounts(a *Accounts) Config {
	c.Accounts = a
	return c
}

// Keyed reports whether requests need a key.
func (c Config) Keyed() bool { return c.Accounts != nil }

// TokenCapacity returns the number of tokens that the requests which run at one upstream of a service may hold; 0 means
// not known.
func (c Config) TokenCapacity(service string) int {
	if i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == service }); i >= 0 {
		return c.Services[i].TokenCapacity
	}
	return 0
}

// Generates reports whether the upstreams of a service are model engines.
func (c Config) Generates(service string) bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == service && s.Generates })
}

// Match returns the route of the host with the longest prefix of path.
func (c Config) Match(host, path string) (Route, bool) {
	for _, r := range c.byHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// CanonicalHost returns the host in lower case and without a port.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Upstream is one model engine or one process of a plain service.
type Upstream struct {
	// ID and Incarnation together name one run of the process.
	ID          string
	Incarnation int64
	Service     string
	// Address is host:port.
	Address string
	Zone    string
	Slots   int
	// Version is that of the software that the upstream runs, such as "v1.1". What two versions write doesn't fit
	// together. It is neither the version of a model's weights nor that of a configuration.
	Version string
	// Draining upstreams finish their requests and accept no new ones.
	Draining bool
	// Doubtful upstreams lost their entry in the object service recently; they are used when no other is
	// free.
	Doubtful bool
}

// Key names one run of an upstream.
type Key struct {
	ID          string
	Incarnation int64
}

// Key returns the key of the upstream.
func (u Upstream) Key() Key { return Key{ID: u.ID, Incarnation: u.Incarnation} }

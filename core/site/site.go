// Package site holds what a deployment serves: the routes and services of one configuration, and
// the upstreams that run them.
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

// Kind says what may be repeated on a route.
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

// Target is one service of a route with its share of the requests.
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
	// Objective is the latency objective: of the whole answer, of the first event of a stream, or of
	// the acceptance of a job.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that is on time.
	GapObjective time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one request is run on.
	MaxAttempts int
	// Resumable reports that a stream can go on at another upstream after its last event.
	Resumable bool
	// Completion is the time from the submission of a job to the due time of its results.
	Completion time.Duration
	// MaxWait is the time after which an unfinished item may be given up.
	MaxWait time.Duration
	// TokenCap bounds the tokens of all unfinished items of the route; 0 means no bound.
	TokenCap int64
}

// Repeatable reports that a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// returnWindow is the time after its first attempt within which a caller returns; it is four times the
// latency objective and the longest advice after a refusal in a wave.
const returnWindow = 2 * time.Second

// Waited returns how long a caller has been at it, in earlier attempts, that now gives itself the time
// left: a first attempt has the route's time, and one that returns has what is left of it. A caller
// with far less is taken to be in a hurry, not to have returned.
func (r Route) Waited(left time.Duration) time.Duration {
	waited := r.Timeout - left
	if left <= 0 || waited < 0 || waited > returnWindow {
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
	// Generates reports that the upstreams are model engines.
	Generates bool
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
	// Draining upstreams finish what they have and take nothing new.
	Draining bool
	// Doubtful upstreams have lost their entry a moment ago; they are used when no other is free.
	Doubtful bool
}

// Key names one run of an upstream.
type Key struct {
	ID          string
	Incarnation int64
}

// Key returns the key of the upstream.
func (u Upstream) Key() Key { return Key{ID: u.ID, Incarnation: u.Incarnation} }

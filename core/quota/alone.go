package quota

import (
	"math"
	"time"

	"mothcart/core/admit"
	"mothcart/core/site"
)

const (
	// assumedNodes is the number of nodes that a node assumes until a home has told it; large sites have as many.
	assumedNodes = 200
	// newHomePart is the part of an account's last requests below which a home that tells their number is a new one.
	newHomePart = 0.7
	// aloneRetry is the longest time after which a node that decides alone tells a caller to retry, and about that until
	// another home has taken over.
	aloneRetry = 1200 * time.Millisecond
	// floodFactor is how many times its limit an account is assumed to ask for at most while no home serves; sites see
	// callers who send eight times their usual, which is less.
	floodFactor = 5
	// unknownLevel is the part of an account's burst that a node takes for unused if it knows nothing of the account, but
	// has been connected to a home for a window.
	unknownLevel = 0.5
)

// Standing is what the home tells a node about an account with the answer to one of its requests.
type Standing struct {
	// Used is the number of the account's last requests over all nodes, Level that of its unused tokens.
	Used, Level float64
	// Low names accounts that have used up most of their tokens since the node was last told.
	Low []string
}

// aloneState is what a node knows of accounts, and what it grants alone.
type aloneState struct {
	// nodes is the number of nodes that share the limits; 0 while a home decides.
	nodes int
	// phase counts the times at which the node began to decide alone; the last one began at since.
	phase int
	since time.Time
	// connectedAt is when a home first told the node about an account.
	connectedAt time.Time
	accounts    map[string]*aloneAccount
}

// aloneAccount is an account as a node knows it.
type aloneAccount struct {
	// own counts the requests through this node, used those through all nodes; level is that of Standing.
	own, used count
	// told is what the present home has last told of used. A new home knows only what came since its start; earlier is
	// used as of then.
	told, earlier count
	level         float64
	learnedAt     time.Time
	// bucket is the node's part of the account's bucket in a phase, as of decidedAt, and share its share of the limit at
	// the begin of the phase.
	bucket    admit.Bucket
	share     float64
	phase     int
	decidedAt time.Time
}

func newAloneState() aloneState { return aloneState{accounts: make(map[string]*aloneAccount)} }

// Standing returns what the node that asked for a request of an account should know.
func (l *Limiter) Standing(now time.Time, a site.Account, owner string) Standing {
	acc := l.account(now, a)
	s := Standing{Used: acc.used.at(now), Level: acc.bucket.Tokens(now)}
	if n := l.members.byOwner[owner]; n != nil {
		s.Low, n.told = l.low.since(n.told), l.low.end()
	}
	return s
}

// Learn records at a node what the home said about an account; granted reports that it granted a request of it.
func (l *Limiter) Learn(now time.Time, name string, s Standing, granted bool) {
	l.sweep(now)
	if l.alone.connectedAt.IsZero() {
		l.alone.connectedAt = now
	}
	acc := l.alone.account(name)
	if granted {
		acc.own = acc.own.add(now, 1)
	}
	if s.Used < newHomePart*acc.told.at(now) {
		acc.earlier = acc.used
	}
	acc.told = count{n: s.Used, last: now}
	acc.used = count{n: acc.earlier.at(now) + s.Used, last: now}
	acc.level, acc.learnedAt = max(s.Level, 0), now
	for _, name := range s.Low {
		low := l.alone.account(name)
		low.level, low.learnedAt = 0, now
	}
}

// Alone begins a phase in which a node decides alone, as one of a number of nodes; 0 means that the number isn't known.
func (l *Limiter) Alone(now time.Time, nodes int) {
	if nodes <= 0 {
		nodes = assumedNodes
	}
	l.alone.nodes, l.alone.since = nodes, now
	l.alone.phase++
}

// takeAlone takes a token of the node's own part.
func (l *Limiter) takeAlone(now time.Time, a site.Account, ask Ask) Verdict {
	acc := l.aloneAccount(now, a)
	if acc.bucket.Tokens(now) < 1 {
		longest := aloneRetry
		if ask.Latest > 0 {
			longest = min(longest, ask.Latest)
		}
		return Verdict{RetryAfter: max(min(acc.bucket.Until(now), spread(longest, ask.Step)), leastRetry)}
	}
	acc.grant(now, 1)
	return Verdict{OK: true}
}

func (l *Limiter) refundAlone(now time.Time, a site.Account) { l.aloneAccount(now, a).grant(now, -1) }

// grant takes n tokens, and counts as many requests; the other nodes are assumed to grant as their shares allow.
func (acc *aloneAccount) grant(now time.Time, n float64) {
	acc.bucket = acc.bucket.Add(now, -n)
	acc.own, acc.used = acc.own.add(now, n), acc.used.add(now, n/acc.share)
}

// aloneAccount returns the state of an account with the node's part of its bucket.
func (l *Limiter) aloneAccount(now time.Time, a site.Account) *aloneAccount {
	acc := l.alone.account(a.Name)
	n := l.alone.nodes
	if acc.phase != l.alone.phase {
		acc.phase = l.alone.phase
		acc.share = weight(acc.own.at(now), acc.used.at(now), n)
		acc.bucket = l.aloneBucket(now, a, acc)
	}
	share := evened(acc.share, now.Sub(l.alone.since), n)
	acc.bucket, acc.decidedAt = acc.bucket.WithLimit(now, a.Rate*share, l.aloneBurst(a, share)), now
	return acc
}

// aloneBucket returns the bucket with which a node begins a phase. If its last phase ended within a window, it goes on
// with the tokens that it had then. Else it begins with its share of the unused ones, and a random part of one, so that
// the nodes together have as many as if each could use parts of a token.
func (l *Limiter) aloneBucket(now time.Time, a site.Account, acc *aloneAccount) admit.Bucket {
	burst := l.aloneBurst(a, acc.share)
	if !acc.decidedAt.IsZero() && now.Sub(acc.decidedAt) < l.tolerance.Window {
		return admit.BucketOf(now, a.Rate*acc.share, burst, acc.bucket.Tokens(acc.decidedAt))
	}
	level := acc.level
	if acc.learnedAt.IsZero() || now.Sub(acc.learnedAt) >= l.tolerance.Window {
		level = l.unknownLevel(a)
	}
	tokens := acc.share*(min(level, l.tolerance.burst(a))+alonePart*l.tolerance.spare(a)) + l.random()
	if tokens < 1 && l.random() < l.firstTokenChance(a, level) {
		tokens = 1
	}
	return admit.BucketOf(now, a.Rate*acc.share, burst, tokens)
}

// firstTokenChance returns the probability with which a node begins a phase with at least one token of an account of which
// a number of tokens are unused. A part of a token is of no use to the callers of a small account, who come to any node;
// so as many nodes get a whole one as the account has tokens for, if it floods all nodes until another home serves.
func (l *Limiter) firstTokenChance(a site.Account, level float64) float64 {
	if level < lowLevel*l.tolerance.burst(a) {
		return 0
	}
	n := float64(l.alone.nodes)
	tokens := level + alonePart*l.tolerance.spare(a) + a.Rate*aloneRetry.Seconds()/2
	reached := n * -math.Expm1(-floodFactor*a.Rate*aloneRetry.Seconds()/n)
	return tokens / reached
}

func (l *Limiter) aloneBurst(a site.Account, share float64) float64 {
	return share*(l.tolerance.burst(a)+alonePart*l.tolerance.spare(a)) + 1
}

// unknownLevel returns the unused tokens of an account that this node has not asked for lately. After a restart of all
// processes nobody knows what was granted before it.
func (l *Limiter) unknownLevel(a site.Account) float64 {
	if at := l.alone.connectedAt; at.IsZero() || l.alone.since.Sub(at) < l.tolerance.Window {
		return 0
	}
	return unknownLevel * l.tolerance.burst(a)
}

func (s *aloneState) account(name string) *aloneAccount {
	acc := s.accounts[name]
	if acc == nil {
		acc = &aloneAccount{}
		s.accounts[name] = acc
	}
	return acc
}

func (s *aloneState) sweep(now time.Time, window time.Duration) {
	for name, acc := range s.accounts {
		if acc.own.at(now) < leastCount && acc.used.at(now) < leastCount && now.Sub(acc.decidedAt) >= window && now.Sub(acc.learnedAt) >= window {
			delete(s.accounts, name)
		}
	}
}

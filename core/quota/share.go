package quota

import (
	"math"
	"strings"
	"time"
)

const (
	// countTime is the time constant over which an account's requests are counted. Callers move between nodes within it.
	countTime = 10 * time.Second
	// leastCount is the count below which a node's use of an account is forgotten.
	leastCount = 0.3
	// evenRequests is the number of requests a node that are assumed to be spread evenly, so that an account with few
	// requests has even shares.
	evenRequests = 2
	// shareAge is the time for which a share is used before it is worked out again.
	shareAge = time.Second
	// reserveTime is how long a lost node keeps its shares. One that is removed for good, or whose process ended without
	// another one, keeps a small part of each limit unused for as long.
	reserveTime = 2 * time.Minute
)

// count is a count of events that decays with countTime.
type count struct {
	n    float64
	last time.Time
}

func (c count) at(now time.Time) float64 {
	if c.n == 0 {
		return 0
	}
	return c.n * decay(now.Sub(c.last))
}

func (c count) add(now time.Time, n float64) count {
	return count{n: max(c.at(now)+n, 0), last: now}
}

func decay(passed time.Duration) float64 {
	return math.Exp(-max(passed, 0).Seconds() / countTime.Seconds())
}

// weight returns the share of a node with own of the used requests of an account, if there are n nodes.
func weight(own, used float64, n int) float64 {
	return min((own+evenRequests)/(max(used, own)+float64(n)*evenRequests), 1)
}

// evened returns the share of a node that had a share when it was lost a time ago.
func evened(share float64, passed time.Duration, n int) float64 {
	even := 1 / float64(n)
	return even + (share-even)*decay(passed)
}

// member is a node that asks for requests of accounts.
type member struct {
	// conns is the number of its connections; it is lost at 0, since lostAt.
	conns  int
	lostAt time.Time
	// asks reports that it asks for requests of accounts.
	asks bool
	used map[string]count
	// told is the end of what it was told of accounts with few tokens.
	told int
	// shares are its shares of the accounts that it used, from lostAt on.
	shares map[string]float64
}

// members are the nodes of a home.
type members struct {
	byVM    map[string]*member
	byOwner map[string]*member
	// lost are those without a connection.
	lost map[string]*member
	// asking is the number of nodes that ask; expected is how many there are as far as an earlier home knew, until a time.
	asking, expected int
	expectedUntil    time.Time
	// version changes with the shares.
	version int
}

func newMembers() members {
	return members{byVM: make(map[string]*member), byOwner: make(map[string]*member), lost: make(map[string]*member)}
}

// Expect sets the number of nodes that ask for requests of accounts, as an earlier home knew it. The shares of those that
// haven't joined yet are not used.
func (l *Limiter) Expect(now time.Time, nodes int) {
	l.members.expected, l.members.expectedUntil = nodes, now.Add(reserveTime)
	l.members.version++
}

// Asking returns the number of nodes that ask for requests of accounts, also those that are lost; 0 if none has asked yet.
func (l *Limiter) Asking(now time.Time) int {
	if l.members.asking == 0 && l.members.expected == 0 {
		return 0
	}
	return l.members.number(now)
}

// Joined records that a node has connected; asks reports that it has asked for requests of accounts before.
func (l *Limiter) Joined(owner string, asks bool) { l.members.join(owner, asks) }

// Left records that a connection of a node has ended. The node keeps its shares until it is back, or for reserveTime.
func (l *Limiter) Left(now time.Time, owner string) {
	l.members.leave(now, owner, func(name string) float64 {
		if acc := l.accounts[name]; acc != nil {
			return acc.used.at(now)
		}
		return 0
	})
}

// vmOf returns the VM of an owner, whose name also has the incarnation of its process and the number of the connection.
func vmOf(owner string) string {
	vm, _, _ := strings.Cut(owner, "/")
	return vm
}

func (m *members) join(owner string, asks bool) *member {
	if n := m.byOwner[owner]; n != nil {
		return n
	}
	vm := vmOf(owner)
	n := m.byVM[vm]
	if n == nil {
		n = &member{used: make(map[string]count)}
		m.byVM[vm] = n
	}
	m.byOwner[owner] = n
	n.conns++
	if asks {
		m.markAsking(n)
	}
	if m.lost[vm] != nil {
		delete(m.lost, vm)
		n.shares = nil
		m.version++
	}
	return n
}

func (m *members) markAsking(n *member) {
	if !n.asks {
		n.asks = true
		m.asking++
		m.version++
	}
}

func (m *members) leave(now time.Time, owner string, used func(name string) float64) {
	n := m.byOwner[owner]
	if n == nil {
		return
	}
	delete(m.byOwner, owner)
	n.conns--
	if n.conns > 0 {
		return
	}
	vm := vmOf(owner)
	if !n.asks {
		delete(m.byVM, vm)
		return
	}
	n.lostAt, n.shares = now, make(map[string]float64, len(n.used))
	for name, c := range n.used {
		n.shares[name] = weight(c.at(now), used(name), m.number(now))
	}
	m.lost[vm] = n
	m.version++
}

// count counts requests of an account that a node asked for.
func (m *members) count(now time.Time, owner, name string, n float64) {
	node := m.byOwner[owner]
	if node == nil {
		node = m.join(owner, true)
	}
	m.markAsking(node)
	node.used[name] = node.used[name].add(now, n)
}

// number returns the number of nodes among which the limits are shared.
func (m *members) number(now time.Time) int {
	if now.Before(m.expectedUntil) {
		return max(m.asking, m.expected, 1)
	}
	return max(m.asking, 1)
}

// share returns the part of an account's limit that the home uses; used is the number of the account's last requests.
func (m *members) share(now time.Time, name string, used float64) float64 {
	n := m.number(now)
	share := 1 - float64(max(n-max(m.asking, 1), 0))/float64(n)
	for _, node := range m.lost {
		lost, ok := node.shares[name]
		if !ok {
			lost = weight(0, used, n)
		}
		share -= evened(lost, now.Sub(node.lostAt), n)
	}
	return max(share, 1/float64(2*n)) // one of the connected nodes asks
}

func (m *members) sweep(now time.Time) {
	for vm, n := range m.byVM {
		for name, c := range n.used {
			if c.at(now) < leastCount {
				delete(n.used, name)
			}
		}
		if n.conns == 0 && now.Sub(n.lostAt) >= reserveTime {
			delete(m.byVM, vm)
			delete(m.lost, vm)
			m.asking--
			m.version++
		}
	}
}

package slot

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mothcart/core/site"
)

// standing is the place of a request among those of all client accounts. The zero value is that of a request without
// account.
type standing struct {
	// shift is the rank of the request less its priority.
	shift int32
	// level is the excess of the account: 0 for the requests within its share, 1 for those up to twice the share, 2 up to
	// four times, and so on.
	level int16
	// starved requests go before priority: those of accounts that are served far less often than all, while they are within
	// the share and can meet their objective.
	starved bool
}

// class is what is compared before the shares of accounts: the rank of a request, then the priority of its route.
type class struct{ rank, priority int }

func (a class) compare(b class) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority))
}

// class returns the class of a request. That of an item doesn't depend on its account, since its due time goes first.
func (r *Request) class() class {
	if r.Batch {
		return class{rank: r.Priority, priority: r.Priority}
	}
	return class{rank: r.rank(), priority: r.Priority}
}

func (r *Request) rank() int { return r.Priority + int(r.standing.shift) }

const (
	// shareInterval is the time between two computations of the shares; a tenth of a latency objective of 300 ms bounds
	// how long a request stays in its place.
	shareInterval = 20 * time.Millisecond
	// accountInterval is what is added to that for each account, beyond the first thousand: some hundred times what it takes
	// to compute its share.
	accountInterval = 20 * time.Microsecond
	// idleTime is how long an account without requests is remembered, and sweepInterval the time between two looks for such.
	idleTime      = time.Minute
	sweepInterval = 10 * time.Second
	// equalPart is the part of the slots that is shared equally, whatever the limits: an account with the smallest limit has
	// nearly half of an equal share, in which a few callers at once by chance find room.
	equalPart = 0.45
	// minAccountSlots is the least share of an account in slots, which bounds the wait expected for its requests.
	minAccountSlots = 0.1
	// maxLevel bounds the excess level.
	maxLevel = 16
	// maxRounds bounds the steps in which the shares are computed; a few are enough, and fewer make the shares smaller.
	maxRounds = 16
)

// shares are the shares of the client accounts in the slots that online requests hold at a service. The account that
// uses least of its share goes first, while others want the slots; a share that isn't used is lent.
type shares struct {
	accounts map[string]*accountUse
	// active are the accounts that hold slots or wait.
	active []*accountUse
	// units holds the slots that a weight of 1 stands for, by class, as of computedAt.
	units      []classUnit
	computedAt time.Time
	sweptAt    time.Time
	// total counts the requests of all accounts.
	total tally
	// held is the number of slots that requests of accounts hold, and waiting that of those that wait.
	held, waiting int
}

// classUnit is the number of slots that a weight of 1 stands for, for the requests up to a class.
type classUnit struct {
	class class
	slots float64
}

// use returns the record of the account of a request, which is added if need be.
func (s *shares) use(now time.Time, r *Request) *accountUse {
	u := s.accounts[r.Account]
	if u == nil {
		if s.accounts == nil {
			s.accounts = make(map[string]*accountUse)
		}
		u = &accountUse{weight: 1, at: -1}
		s.accounts[r.Account] = u
	}
	u.usedAt = now
	return u
}

// stand gives a request its rank; that of its account goes before that of its route.
func (p *Pool) stand(r *Request) (site.Account, bool) {
	r.standing = standing{}
	if r.Account == "" {
		return site.Account{}, false
	}
	account, _ := p.opts.Account(r.Account)
	r.standing.shift = int32(account.Rank(r.Priority) - r.Priority)
	return account, true
}

// rank gives an online request its place among those of all accounts before it is queued.
func (p *Pool) rank(now time.Time, s *service, r *Request) {
	account, ok := p.stand(r)
	if !ok {
		return
	}
	s.shares.sweep(now)
	u := s.shares.use(now, r)
	u.rate = account.Rate
	k := u.of(r.class())
	s.shares.total.fade(now)
	starved := k.isStarved(now, &s.shares.total)
	k.tally.asked++
	s.shares.total.asked++
	if len(s.online.items) == 0 {
		return
	}
	s.computeShares(now)
	if held, _ := u.upTo(r.class()); starved && s.shares.isUrged(u, r, held+k.waiting) {
		r.standing.starved = true
		return
	}
	r.standing.level = levelOf(s.positionOf(u, r), s.shares.slots(u, r.class()))
}

// isUrged reports whether a starved request goes before priority: while it can meet its objective, and the slots that its
// account holds with the waiting requests of its class, position in all, are within the share.
func (s *shares) isUrged(u *accountUse, r *Request, position int) bool {
	return !r.late && levelOf(position, s.slots(u, r.class())) == 0
}

// positionOf returns how many requests of its account are before a new request: those that hold slots, and those that
// wait and are more urgent.
func (s *service) positionOf(u *accountUse, r *Request) int {
	held, waiting := u.upTo(r.class())
	if float64(held+waiting) < s.shares.slots(u, r.class()) {
		return held + waiting
	}
	position := held
	for _, g := range s.online.items {
		if g.request.Account == r.Account && compareInAccount(&g.request, r) < 0 {
			position++
		}
	}
	return position
}

// levelOf returns the excess level of the request of an account at a position, from 0.
func levelOf(position int, slots float64) int16 {
	if position == 0 || float64(position) < slots {
		return 0
	}
	return 1 + int16(min(math.Log2(float64(position)/slots), maxLevel))
}

// slots returns the share of an account for its requests up to a class, in slots.
func (s *shares) slots(u *accountUse, c class) float64 {
	for _, unit := range s.units {
		if unit.class.compare(c) >= 0 {
			return max(unit.slots*u.weight, minAccountSlots)
		}
	}
	return math.Inf(1) // nobody waited in the class when the shares were computed
}

// computeShares computes the shares from what the accounts hold and want. While requests wait, online requests hold all
// slots that there are. Requests without account count as one account, but aren't held to its share.
func (s *service) computeShares(now time.Time) {
	a := &s.shares
	if now.Sub(a.computedAt) < max(shareInterval, time.Duration(len(a.active))*accountInterval) {
		return
	}
	a.computedAt = now
	a.weigh()
	a.units = a.units[:0]
	for _, u := range a.active {
		for _, k := range u.classes {
			if k.held+k.waiting == 0 {
				continue
			}
			i, ok := slices.BinarySearchFunc(a.units, k.class, func(have classUnit, c class) int { return have.class.compare(c) })
			if !ok {
				a.units = slices.Insert(a.units, i, classUnit{class: k.class})
			}
		}
	}
	without := len(s.onlineGrants) - a.held + len(s.online.items) - a.waiting
	for i := range a.units {
		a.units[i].slots = a.unit(a.units[i].class, float64(len(s.onlineGrants)), float64(without))
	}
}

// weigh sets the weights. They go by the limits, which say what accounts are to get, but for equalPart. An account without
// limit counts like the mean of the others.
func (s *shares) weigh() {
	sum, limited := 0.0, 0
	for _, u := range s.active {
		if u.rate > 0 {
			sum += u.rate
			limited++
		}
	}
	for _, u := range s.active {
		u.weight = 1
		if u.rate > 0 {
			u.weight = equalPart + (1-equalPart)*u.rate*float64(limited)/sum
		}
	}
}

// unit returns the number of slots that a weight of 1 stands for, so that all slots are used: accounts that want less than
// their share get what they want, and the others share the rest by weight. Requests without account want some too.
func (s *shares) unit(c class, slots, without float64) float64 {
	unit := 0.0
	for range maxRounds {
		satisfied, weight := without, 0.0
		if without > unit {
			satisfied, weight = 0, 1
		}
		for _, u := range s.active {
			held, waiting := u.upTo(c)
			if want := float64(held + waiting); want <= unit*u.weight {
				satisfied += want
			} else {
				weight += u.weight
			}
		}
		if weight == 0 {
			return math.Inf(1)
		}
		next := (slots - satisfied) / weight
		if next <= unit {
			break
		}
		unit = next
	}
	return unit
}

// sweep removes the accounts that have been idle for long.
func (s *shares) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for name, u := range s.accounts {
		if u.at < 0 && now.Sub(u.usedAt) >= idleTime {
			delete(s.accounts, name)
		}
	}
}

// wait returns the time until enough requests of the account have ended that the one at a position is within its share.
func (s *shares) wait(u *accountUse, c class, position int, meanHold time.Duration) time.Duration {
	slots := s.slots(u, c)
	held, _ := u.upTo(c)
	if held == 0 || levelOf(position, slots) == 0 {
		return 0 // an account that holds nothing is above no share
	}
	return time.Duration((float64(position+1) - slots) / max(slots, float64(held)) * float64(meanHold))
}

// overtaken is a request above the share of its account, and the time until it is within it.
type overtaken struct {
	request Request
	wait    time.Duration
}

// remark gives the waiting requests of accounts their places anew. It removes and returns those that are above the share
// of their account and can't be within it before their wait ends.
func (s *service) remark(now time.Time) []overtaken {
	a := &s.shares
	if len(a.active) == 0 || len(s.online.items) == 0 {
		return nil
	}
	s.computeShares(now)
	for _, u := range a.active {
		u.seen = 0
	}
	slices.SortFunc(s.online.items, func(a, b *grant) int { return compareInAccount(&a.request, &b.request) })
	a.total.fade(now)
	var out []overtaken
	s.online.filter(func(r *Request) bool {
		u := a.accounts[r.Account]
		if u == nil {
			return true
		}
		held, _ := u.upTo(r.class())
		k := u.of(r.class())
		if r.standing.starved = k.isStarved(now, &a.total) && a.isUrged(u, r, held+k.waiting-1); r.standing.starved {
			r.standing.level = 0
			u.seen++
			return true
		}
		position := held + u.seen
		r.standing.level = levelOf(position, a.slots(u, r.class()))
		if wait := a.wait(u, r.class(), position, s.meanHold); wait > 0 && now.Add(wait).After(r.Deadline) {
			out = append(out, overtaken{request: *r, wait: wait})
			return false
		}
		u.seen++
		return true
	})
	slices.SortFunc(s.online.items, compareGrants)
	return out
}

// compareStanding orders requests of which at least one has an account.
func compareStanding(a, b *Request) int {
	switch {
	case a.standing.starved != b.standing.starved:
		return falseFirst(b.standing.starved, a.standing.starved)
	case a.class() != b.class():
		return a.class().compare(b.class())
	case a.late != b.late:
		return falseFirst(a.late, b.late)
	case a.Batch:
		return compareEquallyDue(a, b)
	default:
		return cmp.Or(cmp.Compare(a.standing.level, b.standing.level), compareInShare(a, b))
	}
}

// compareInAccount orders the online requests of one account by when they are served.
func compareInAccount(a, b *Request) int {
	return cmp.Or(a.class().compare(b.class()), compareInShare(a, b))
}

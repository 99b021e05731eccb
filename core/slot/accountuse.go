package slot

import (
	"math"
	"slices"
	"time"
)

const (
	// servedWindow is the time over which the served share of an account is averaged. It is longer than a wave of callers.
	servedWindow = 8 * time.Second
	// starvedRatio is the part of the served share of all accounts below which an account is starved. Users call less than
	// a quarter a failure; the rest is for the time until a change shows.
	starvedRatio = 0.4
)

// accountUse is what an account holds and wants of a service.
type accountUse struct {
	// rate is the limit of the account in requests a second; 0 if it has none.
	rate   float64
	weight float64
	// classes are in order; an account has requests of few classes.
	classes []classUse
	// at is the position in shares.active; -1 if the account isn't active.
	at     int
	usedAt time.Time
	// retryAt is the latest retry time that was reserved for a refused caller of the account.
	retryAt time.Time
	// seen counts requests in one pass over the waiting ones.
	seen int
}

// classUse is what an account holds and wants in a class.
type classUse struct {
	class         class
	held, waiting int
	tally         tally
}

// tally counts the requests that asked and those that got slots in the last servedWindow, fading exponentially.
type tally struct {
	asked, served float64
	at            time.Time
}

func (t *tally) fade(now time.Time) {
	if passed := now.Sub(t.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / servedWindow.Seconds())
		t.asked, t.served, t.at = t.asked*factor, t.served*factor, now
	}
}

// isStarved reports whether a class of an account is served far less often than all. Requests that wait don't count.
func (k *classUse) isStarved(now time.Time, all *tally) bool {
	k.tally.fade(now)
	return k.tally.served*all.asked < starvedRatio*all.served*(k.tally.asked-float64(k.waiting))
}

func (u *accountUse) of(c class) *classUse {
	i, ok := slices.BinarySearchFunc(u.classes, c, func(have classUse, c class) int { return have.class.compare(c) })
	if !ok {
		u.classes = slices.Insert(u.classes, i, classUse{class: c})
	}
	return &u.classes[i]
}

// upTo returns how many slots the account holds, and how many of its requests wait, up to a class. Slots of less urgent
// requests don't count, since more urgent ones of all accounts go before them.
func (u *accountUse) upTo(c class) (held, waiting int) {
	for i := range u.classes {
		if u.classes[i].class.compare(c) <= 0 {
			held += u.classes[i].held
			waiting += u.classes[i].waiting
		}
	}
	return held, waiting
}

// count adds to the slots that the account of a request holds, and to its waiting requests.
func (s *shares) count(u *accountUse, c class, held, waiting int) {
	k := u.of(c)
	k.held += held
	k.waiting += waiting
	s.held += held
	s.waiting += waiting
	busy := slices.ContainsFunc(u.classes, func(k classUse) bool { return k.held+k.waiting > 0 })
	switch {
	case busy && u.at < 0:
		u.at = len(s.active)
		s.active = append(s.active, u)
	case !busy && u.at >= 0:
		last := s.active[len(s.active)-1]
		s.active[u.at], last.at = last, u.at
		s.active = s.active[:len(s.active)-1]
		u.at = -1
	}
}

// countWaiting adds to the waiting requests of the account of r.
func (s *shares) countWaiting(r *Request, n int) {
	if u := s.accounts[r.Account]; u != nil {
		s.count(u, r.class(), 0, n)
	}
}

// countHeld adds to the slots that online requests of the account of r hold.
func (s *shares) countHeld(now time.Time, r *Request, n int) {
	if r.Account == "" {
		return
	}
	u := s.use(now, r)
	s.count(u, r.class(), n, 0)
	if n > 0 {
		k := u.of(r.class())
		k.tally.fade(now)
		k.tally.served++
		s.total.fade(now)
		s.total.served++
	}
}

package slot

import (
	"math"
	"time"
)

// refuseOverShare returns a refusal, and true, for a waiting request above the share of its account that can't be within
// it before its wait ends. Requests of accounts within their share overtake it for as long.
func (p *Pool) refuseOverShare(now time.Time, s *service, r *Request) (Refusal, bool) {
	if r.standing.level == 0 {
		return Refusal{}, false
	}
	u := s.shares.accounts[r.Account]
	expected := s.shares.wait(u, r.class(), s.positionOf(u, r), s.meanHold)
	if !now.Add(expected).After(r.Deadline) {
		return Refusal{}, false
	}
	return p.overShare(now, s, *r, expected), true
}

// refuseOvertaken marks the waiting requests anew and refuses those that are overtaken for the rest of their wait.
func (p *Pool) refuseOvertaken(now time.Time, s *service) []Refusal {
	var out []Refusal
	for _, o := range s.remark(now) {
		p.refund(now, &o.request)
		out = append(out, p.overShare(now, s, o.request, o.wait))
	}
	return out
}

// overShare returns the refusal of a request that is expected to be within the share of its account after a time.
func (p *Pool) overShare(now time.Time, s *service, r Request, expected time.Duration) Refusal {
	return Refusal{
		Request: r, Reason: ReasonOverShare, RetryAfter: p.retryAfter(now, s, r, expected-r.Deadline.Sub(now)),
		AccountLevel: int(r.standing.level), AccountSlots: s.shares.slots(s.shares.accounts[r.Account], r.class()),
	}
}

// retryTurn returns the latest retry time that was reserved, and the time between two. The refused callers of an account
// above its share wait for slots of that share, and hold up no others.
func (s *service) retryTurn(now time.Time, r *Request) (*time.Time, time.Duration) {
	if r.standing.level == 0 {
		return &s.lastRetryAt, s.retryInterval(now)
	}
	u := s.shares.accounts[r.Account]
	slots := s.shares.slots(u, r.class())
	if math.IsInf(slots, 1) {
		return &s.lastRetryAt, s.retryInterval(now)
	}
	return &u.retryAt, time.Duration(float64(s.meanHold) / slots)
}

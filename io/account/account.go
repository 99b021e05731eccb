// Package account limits the requests of accounts over all VMs, by grants of each account's home.
//
// The home of an account, by rendezvous hashing, holds its one token bucket. A VM that sees the
// account's requests asks the home for the tokens of the next seconds, so that all VMs together
// never exceed the limit. While the home is away a VM goes on with the rate it was granted last.
//
// Usage:
//
//	l := account.New(account.Options{Peers: node, Snapshot: follower.Current})
//	defer l.Close()
//	wait, ok := l.Allow(ctx, account)
package account

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"mothcart/core/admit"
	"mothcart/core/config"
	"mothcart/io/peer"
)

// borrowMethod asks an account's home for tokens.
const borrowMethod = "account.borrow"

const (
	// borrowTimeout bounds the wait for the home before the VM goes on without it.
	borrowTimeout = 150 * time.Millisecond
	// maxBorrows bounds the calls for one request; it shares the tokens of a call with others.
	maxBorrows = 3
	// minWait is the advice to a request that others of the same account overtook.
	minWait = 100 * time.Millisecond
	// cleanInterval is the time between two searches for accounts that are no longer seen.
	cleanInterval = 10 * time.Second
)

// Options are the seams of a Limiter. Values are immutable.
type Options struct {
	Peers *peer.Node
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
}

// Limiter applies the limits on one VM. It is safe for concurrent use.
type Limiter struct {
	opts  Options
	stop  chan struct{}
	done  sync.WaitGroup
	calls singleflight.Group

	mu         sync.Mutex
	allowances map[string]admit.Allowance
	// buckets holds the accounts that this VM is home of.
	buckets map[string]homeBucket
}

type homeBucket struct {
	bucket admit.Bucket
	limit  config.Account
	used   time.Time
}

type borrowRequest struct {
	Account string `msgpack:"a"`
	Tokens  int    `msgpack:"n"`
}

type borrowResponse struct {
	Tokens     int   `msgpack:"n"`
	WaitMillis int64 `msgpack:"w,omitempty"`
}

// New registers the home's method and starts a goroutine that forgets unused accounts.
func New(opts Options) *Limiter {
	l := &Limiter{opts: opts, stop: make(chan struct{}), allowances: map[string]admit.Allowance{}, buckets: map[string]homeBucket{}}
	peer.Handle(opts.Peers, borrowMethod, func(_ context.Context, _ string, req borrowRequest) (borrowResponse, error) {
		return l.lend(time.Now(), req), nil
	})
	l.done.Go(func() {
		ticker := time.NewTicker(cleanInterval)
		defer ticker.Stop()
		for {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
				l.clean(time.Now())
			}
		}
	})
	return l
}

// Close ends the goroutine.
func (l *Limiter) Close() {
	close(l.stop)
	l.done.Wait()
}

// Allow takes one request of the account; when it refuses it returns the time to wait.
func (l *Limiter) Allow(ctx context.Context, a config.Account) (time.Duration, bool) {
	if a.RequestsPerSecond <= 0 {
		return 0, true
	}
	want, ok := l.take(time.Now(), a.Name)
	for range maxBorrows {
		if ok {
			return 0, true
		}
		answer, err := l.borrow(ctx, a.Name, want)
		if err != nil {
			return l.withoutHome(time.Now(), a)
		}
		if ok = l.spend(time.Now(), a.Name); !ok && answer.Tokens == 0 {
			return time.Duration(answer.WaitMillis) * time.Millisecond, false
		}
	}
	return minWait, ok
}

// take counts a request and takes a token; without one it returns how many to borrow.
func (l *Limiter) take(now time.Time, name string) (want int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.allowances[name].Take(now)
	l.allowances[name] = a
	return a.Want(), ok
}

func (l *Limiter) spend(now time.Time, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.allowances[name].Spend(now)
	l.allowances[name] = a
	return ok
}

// withoutHome decides while the account's home is away.
func (l *Limiter) withoutHome(now time.Time, account config.Account) (time.Duration, bool) {
	vms := len(l.opts.Peers.View().VMs)
	l.mu.Lock()
	defer l.mu.Unlock()
	a, wait, ok := l.allowances[account.Name].WithoutHome(now, account.RequestsPerSecond, account.Burst, vms)
	l.allowances[account.Name] = a
	return wait, ok
}

// borrow asks the account's home and keeps the tokens. Requests that come while a call is under way
// share it.
func (l *Limiter) borrow(ctx context.Context, name string, want int) (borrowResponse, error) {
	v, err, _ := l.calls.Do(name, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
		defer cancel()
		home := l.opts.Peers.View().Owner("account/" + name)
		answer, err := peer.Call[borrowResponse](ctx, l.opts.Peers, home, borrowMethod, peer.Control, borrowRequest{Account: name, Tokens: want})
		if err != nil {
			return answer, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.allowances[name] = l.allowances[name].WithGrant(time.Now(), answer.Tokens)
		return answer, nil
	})
	answer, _ := v.(borrowResponse)
	return answer, err
}

// lend answers a VM from the account's bucket.
func (l *Limiter) lend(now time.Time, req borrowRequest) borrowResponse {
	account, ok := l.opts.Snapshot().Account(req.Account)
	if !ok {
		return borrowResponse{WaitMillis: time.Second.Milliseconds()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h, known := l.buckets[req.Account]
	switch {
	case !known:
		h = homeBucket{bucket: admit.NewBucket(now, account.RequestsPerSecond, account.Burst), limit: account}
	case h.limit != account:
		h.bucket, h.limit = h.bucket.WithRate(now, account.RequestsPerSecond, account.Burst), account
	}
	bucket, n, wait := h.bucket.TakeUpTo(now, req.Tokens)
	h.bucket, h.used = bucket, now
	l.buckets[req.Account] = h
	return borrowResponse{Tokens: n, WaitMillis: wait.Milliseconds()}
}

func (l *Limiter) clean(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.allowances {
		if a.Idle(now) {
			delete(l.allowances, name)
		}
	}
	for name, h := range l.buckets {
		if now.Sub(h.used) > 2*cleanInterval {
			delete(l.buckets, name)
		}
	}
}

// Package account limits the request rate of accounts across all VMs by grants from each account's home.
//
// The home of an account, by rendezvous hashing, holds its one token bucket. A VM that sees the
// account's requests asks the home for the tokens of the next seconds, so that all VMs together
// never exceed the limit. While the home is unreachable, a VM continues with the rate granted last.
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

// grantMethod asks an account's home for tokens.
const grantMethod = "account.borrow"

const (
	// grantTimeout bounds the call to the home, after which the VM decides without it.
	grantTimeout = 150 * time.Millisecond
	// maxGrantCalls bounds the calls for one request; concurrent requests share a call and its tokens, so
	// one call may leave no token for it.
	maxGrantCalls = 3
	// minWait is the advised wait of a request that got no token because concurrent requests of the account
	// spent all that were granted.
	minWait = 100 * time.Millisecond
	// cleanInterval is the interval at which unused accounts are removed.
	cleanInterval = 10 * time.Second
)

// Options are the dependencies of a Limiter. Values are immutable.
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
	// buckets holds the token buckets of the accounts that this VM is home of.
	buckets map[string]homeBucket
}

type homeBucket struct {
	bucket admit.Bucket
	limit  config.Account
	used   time.Time
}

type grantRequest struct {
	Account string `msgpack:"a"`
	Tokens  int    `msgpack:"n"`
}

type grantResponse struct {
	Tokens     int   `msgpack:"n"`
	WaitMillis int64 `msgpack:"w,omitempty"`
}

// New registers the home's method and starts a goroutine that removes unused accounts.
func New(opts Options) *Limiter {
	l := &Limiter{opts: opts, stop: make(chan struct{}), allowances: map[string]admit.Allowance{}, buckets: map[string]homeBucket{}}
	peer.Handle(opts.Peers, grantMethod, func(_ context.Context, _ string, req grantRequest) (grantResponse, error) {
		return l.grant(time.Now(), req), nil
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

// Close stops the goroutine that removes unused accounts.
func (l *Limiter) Close() {
	close(l.stop)
	l.done.Wait()
}

// Allow reports whether the account may make one more request; if not, it returns the time to wait.
func (l *Limiter) Allow(ctx context.Context, a config.Account) (time.Duration, bool) {
	if a.RequestsPerSecond <= 0 {
		return 0, true
	}
	want, ok := l.take(time.Now(), a.Name)
	for range maxGrantCalls {
		if ok {
			return 0, true
		}
		answer, err := l.requestGrant(ctx, a.Name, want)
		if err != nil {
			return l.withoutHome(time.Now(), a)
		}
		if ok = l.spend(time.Now(), a.Name); !ok && answer.Tokens == 0 {
			return time.Duration(answer.WaitMillis) * time.Millisecond, false
		}
	}
	return minWait, ok
}

// take counts a request and spends a token of this VM's allowance; if there is none, ok is false and want
// is how many tokens to request from the home.
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

// withoutHome decides while the account's home is unreachable.
func (l *Limiter) withoutHome(now time.Time, account config.Account) (time.Duration, bool) {
	vms := len(l.opts.Peers.View().VMs)
	l.mu.Lock()
	defer l.mu.Unlock()
	a, wait, ok := l.allowances[account.Name].WithoutHome(now, account.RequestsPerSecond, account.Burst, vms)
	l.allowances[account.Name] = a
	return wait, ok
}

// requestGrant asks the account's home for tokens and adds them to the allowance. Requests that arrive
// while a call is in flight share it.
func (l *Limiter) requestGrant(ctx context.Context, name string, want int) (grantResponse, error) {
	v, err, _ := l.calls.Do(name, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
		defer cancel()
		home := l.opts.Peers.View().Owner("account/" + name)
		answer, err := peer.Call[grantResponse](ctx, l.opts.Peers, home, grantMethod, peer.Control, grantRequest{Account: name, Tokens: want})
		if err != nil {
			return answer, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.allowances[name] = l.allowances[name].WithGrant(time.Now(), answer.Tokens)
		return answer, nil
	})
	answer, _ := v.(grantResponse)
	return answer, err
}

// grant grants a VM tokens from the account's bucket.
func (l *Limiter) grant(now time.Time, req grantRequest) grantResponse {
	account, ok := l.opts.Snapshot().Account(req.Account)
	if !ok {
		return grantResponse{WaitMillis: time.Second.Milliseconds()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h, exists := l.buckets[req.Account]
	switch {
	case !exists:
		h = homeBucket{bucket: admit.NewBucket(now, account.RequestsPerSecond, account.Burst), limit: account}
	case h.limit != account:
		h.bucket, h.limit = h.bucket.WithRate(now, account.RequestsPerSecond, account.Burst), account
	}
	bucket, n, wait := h.bucket.TakeUpTo(now, req.Tokens)
	h.bucket, h.used = bucket, now
	l.buckets[req.Account] = h
	return grantResponse{Tokens: n, WaitMillis: wait.Milliseconds()}
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

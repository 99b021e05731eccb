package published

import (
	"context"
	"errors"
	"slices"
	"time"

	"mothcart/core/publication"
	"mothcart/core/rendezvous"
	"mothcart/io/clock"
	"mothcart/io/store"
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed read of the root.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// roleInterval is the interval at which a VM that does not watch checks whether it should.
	roleInterval = 500 * time.Millisecond
	// loadTimeout bounds the fetch of a complete set.
	loadTimeout = 20 * time.Second
)

// watchLoop watches the root while this VM is one of the watchers. A VM that is not a watcher reads the root
// at its start and when its generation was not confirmed for ReadAfter.
func (f *Follower) watchLoop(ctx context.Context) {
	var version store.Version
	pause := minRetryPause
	first := true
	for ctx.Err() == nil {
		watches := f.isWatcher()
		if !watches && !first && f.Confirmed(time.Now()) < f.opts.ReadAfter {
			_ = clock.Sleep(ctx, roleInterval)
			continue
		}
		wait := f.opts.WatchWait
		if first || !watches {
			wait = 0
		}
		seen, err := f.watchOnce(ctx, version, wait)
		if err != nil {
			f.log.Debug().Err(err).Msg("configurationWatchFailed")
			_ = clock.Sleep(ctx, pause/2+f.random.duration(pause))
			pause = min(2*pause, maxRetryPause)
			first = first && f.Current().Generation == 0
			continue
		}
		version, pause, first = seen, minRetryPause, false
	}
}

// watchOnce waits for a root newer than version and adopts it. Its deadline ends a watch that stopped
// responding, so that a new one replaces it.
func (f *Follower) watchOnce(ctx context.Context, version store.Version, wait time.Duration) (store.Version, error) {
	watchCtx, cancel := context.WithTimeout(ctx, wait+f.opts.WatchGrace)
	defer cancel()
	var o store.Object
	var err error
	if wait == 0 {
		o, err = f.opts.Store.Get(watchCtx, publication.RootKey)
	} else {
		o, err = f.opts.Store.Watch(watchCtx, publication.RootKey, version, wait)
	}
	if errors.Is(err, store.ErrNotFound) && f.Current().Generation == 0 {
		f.confirm()
		return version, nil
	}
	if err != nil {
		return version, err
	}
	loadCtx, cancelLoad := context.WithTimeout(ctx, loadTimeout)
	defer cancelLoad()
	if err := f.adopt(loadCtx, o.Value, f.fromAnywhere); err != nil {
		return version, err
	}
	f.confirm()
	return max(version, o.Version), nil
}

// role caches whether this VM is a watcher for a list of live VMs, since ranking all VMs takes time.
type role struct {
	ids     []string
	watches bool
}

// isWatcher reports whether this VM is one of the watchers; only the watch loop calls it.
func (f *Follower) isWatcher() bool {
	ids := f.ids()
	if len(ids) <= f.opts.Watchers {
		return true
	}
	if !slices.Equal(ids, f.role.ids) {
		watchers := rendezvous.Top(publication.RootKey, ids, f.opts.Watchers)
		f.role = role{ids: slices.Clone(ids), watches: slices.Contains(watchers, f.opts.Self)}
	}
	return f.role.watches
}

// ids returns the IDs of the live VMs, including this one.
func (f *Follower) ids() []string {
	if f.opts.Peers.IDs == nil {
		return []string{f.opts.Self}
	}
	return f.opts.Peers.IDs()
}

// others returns up to n random other VMs.
func (f *Follower) others(n int) []string {
	ids := slices.DeleteFunc(slices.Clone(f.ids()), func(id string) bool { return id == f.opts.Self })
	f.random.shuffle(ids)
	return ids[:min(n, len(ids))]
}

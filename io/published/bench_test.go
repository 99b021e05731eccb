package published

import (
	"context"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"mothcart/core/publication"
	"mothcart/io/store"
)

const benchAccounts = 26_000

// counted returns a client that counts the puts and their bytes.
func counted(c store.Client, puts, bytes *atomic.Int64) store.Client {
	put := c.Put
	c.Put = func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
		puts.Add(1)
		bytes.Add(int64(len(value)))
		return put(ctx, key, value, expect)
	}
	return c
}

// countedPeers returns peer calls that count the bytes fetched.
func countedPeers(p Peers, bytes *atomic.Int64) Peers {
	root, blocks := p.FetchRoot, p.FetchBlocks
	p.FetchRoot = func(ctx context.Context, from string) ([]byte, error) {
		data, err := root(ctx, from)
		bytes.Add(int64(len(data)))
		return data, err
	}
	p.FetchBlocks = func(ctx context.Context, from string, digests []publication.Digest) ([][]byte, error) {
		got, err := blocks(ctx, from, digests)
		for _, data := range got {
			bytes.Add(int64(len(data)))
		}
		return got, err
	}
	return p
}

// BenchmarkApplyOneAccountOf26000 publishes a change of one account, which a second VM that cannot reach the
// object service fetches from the first.
func BenchmarkApplyOneAccountOf26000(b *testing.B) {
	s, net := newStore(), newNetwork()
	var puts, written, fetched atomic.Int64
	publisher := New(Options{Self: "e1", Store: counted(s.Client(), &puts, &written), Peers: net.peers("e1"), WatchWait: time.Hour})
	defer publisher.Close()
	offline := s.Client()
	offline.Get = func(context.Context, string) (store.Object, error) { return store.Object{}, store.ErrUnavailable }
	offline.Watch = func(context.Context, string, store.Version, time.Duration) (store.Object, error) {
		return store.Object{}, store.ErrUnavailable
	}
	follower := New(Options{Self: "e2", Store: offline, Peers: countedPeers(net.peers("e2"), &fetched), FetchJitter: time.Nanosecond})
	defer follower.Close()
	set := accountSet(b, benchAccounts)
	publish := func() {
		result, err := publisher.Apply(context.Background(), time.Now(), "abebe", set, nil)
		if err != nil || result.Outcome != publication.OutcomeAccepted {
			b.Fatal(result.Outcome, result.Problems, err)
		}
	}
	start := time.Now()
	publish()
	b.Logf("first apply of %d accounts: %v, %d puts, %d bytes", benchAccounts, time.Since(start), puts.Load(), written.Load())
	for follower.Current().Generation < 1 {
		time.Sleep(time.Millisecond)
	}
	b.Logf("first fetch from a peer: %d bytes", fetched.Load())
	puts.Store(0)
	written.Store(0)
	fetched.Store(0)
	n := 0
	for b.Loop() {
		n++
		set.Accounts = slices.Clone(set.Accounts)
		set.Accounts[n%benchAccounts].Burst++
		publish()
		b.StopTimer()
		for follower.Current().Generation < publisher.Current().Generation {
			time.Sleep(time.Millisecond)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(puts.Load())/float64(n), "puts/op")
	b.ReportMetric(float64(written.Load())/float64(n), "writtenB/op")
	b.ReportMetric(float64(fetched.Load())/float64(n), "fetchedB/op")
}

// BenchmarkSpreadOverLoopback measures the time from an apply until its generation is in force on nine VMs.
func BenchmarkSpreadOverLoopback(b *testing.B) {
	followers := loopbackFleet(b, newStore())
	set := accountSet(b, 1000)
	n := 0
	for b.Loop() {
		n++
		set.Accounts = slices.Clone(set.Accounts)
		set.Accounts[n%len(set.Accounts)].Burst++
		result, err := followers[n%len(followers)].Apply(context.Background(), time.Now(), "abebe", set, nil)
		if err != nil {
			b.Fatal(err)
		}
		for _, f := range followers {
			for f.Current().Generation < result.Generation {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

// BenchmarkFollowerMemory reports the heap that a follower of a large set occupies.
func BenchmarkFollowerMemory(b *testing.B) {
	s := newStore()
	publisher := New(Options{Self: "e1", Store: s.Client()})
	if _, err := publisher.Apply(context.Background(), time.Now(), "abebe", accountSet(b, benchAccounts), nil); err != nil {
		b.Fatal(err)
	}
	publisher.Close()
	before := heap()
	var follower *Follower
	for b.Loop() {
		if follower != nil {
			follower.Close()
		}
		follower = New(Options{Self: "e2", Store: s.Client()})
		for follower.Current().Generation == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	after := heap()
	b.ReportMetric(float64(after-before), "heapB")
	follower.Close()
	runtime.KeepAlive(publisher)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

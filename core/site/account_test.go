package site

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

func holder(name string, keys ...string) AccountKeys {
	a := AccountKeys{Account: Account{Name: name, Rate: 5, Burst: 5}}
	for _, k := range keys {
		a.Keys = append(a.Keys, DigestKey(k))
	}
	return a
}

// nameOf returns the name of the account that holds a key; empty if none does.
func nameOf(a *Accounts, key string) string {
	account, _ := a.ByKey(DigestKey(key))
	return account.Name
}

func TestAccountsByKey(t *testing.T) {
	for _, tc := range []struct {
		name string
		list []AccountKeys
		want map[string]string
		errs int
	}{
		{"none", nil, map[string]string{"k": ""}, 0},
		{"two keys", []AccountKeys{holder("a", "k1", "k2"), holder("b", "k3")}, map[string]string{"k1": "a", "k2": "a", "k3": "b", "k4": ""}, 0},
		{"no key", []AccountKeys{holder("a")}, map[string]string{"": ""}, 0},
		{"key in two accounts", []AccountKeys{holder("a", "k1", "k2"), holder("b", "k2", "k3")}, map[string]string{"k1": "a", "k2": "", "k3": "b"}, 1},
		{"key twice in an account", []AccountKeys{holder("a", "k1", "k1")}, map[string]string{"k1": "a"}, 0},
		{"name twice", []AccountKeys{holder("a", "k1"), holder("a", "k2"), holder("b", "k3")}, map[string]string{"k1": "", "k2": "", "k3": "b"}, 2},
		{"too many keys", []AccountKeys{holder("a", make([]string, maxAccountKeys+1)...), holder("b", "k3")}, map[string]string{"": "", "k3": "b"}, 1},
		{"empty name", []AccountKeys{holder("", "k1")}, map[string]string{"k1": ""}, 1},
		{"name with a line feed", []AccountKeys{holder("a\nb", "k1")}, map[string]string{"k1": ""}, 1},
		{"name that isn't UTF-8", []AccountKeys{holder("a\xff", "k1")}, map[string]string{"k1": ""}, 1},
		{"negative rate", []AccountKeys{{Account: Account{Name: "a", Rate: -1}, Keys: []KeyDigest{DigestKey("k1")}}}, map[string]string{"k1": ""}, 1},
		{"rate that is no number", []AccountKeys{{Account: Account{Name: "a", Rate: math.NaN()}, Keys: []KeyDigest{DigestKey("k1")}}}, map[string]string{"k1": ""}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, errs := NewAccounts(tc.list)
			require.Len(t, errs, tc.errs)
			for key, want := range tc.want {
				require.Equal(t, want, nameOf(a, key), key)
			}
		})
	}
	var none *Accounts
	require.Empty(t, nameOf(none, "k"))
	require.Zero(t, none.Len())
}

// Guards against a change that differs from a new start with the same accounts, and against a change of values in use.
func TestChangesOfAccounts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	draw := func() []AccountKeys {
		var list []AccountKeys
		for i := range 40 {
			if rng.IntN(3) == 0 {
				continue
			}
			a := holder(fmt.Sprintf("a%d", i))
			a.Account.Rate = float64(rng.IntN(3))
			for k := range rng.IntN(3) {
				a.Keys = append(a.Keys, DigestKey(fmt.Sprintf("k%d", (i+rng.IntN(2)*40)*4+k)))
			}
			list = append(list, a)
		}
		return list
	}
	a, _ := NewAccounts(nil)
	for range 200 {
		list := draw()
		before := snapshot(a)
		next, _ := a.With(list)
		want, _ := NewAccounts(list)
		require.Equal(t, snapshot(want), snapshot(next))
		require.Equal(t, want.Len(), next.Len())
		require.Equal(t, before, snapshot(a))
		a = next
	}
}

// snapshot returns the account of each key of TestChangesOfAccounts.
func snapshot(a *Accounts) map[string]Account {
	out := make(map[string]Account)
	for i := range 80 * 4 {
		key := fmt.Sprintf("k%d", i)
		if account, ok := a.ByKey(DigestKey(key)); ok {
			out[key] = account
		}
	}
	return out
}

func manyAccounts(n int) []AccountKeys {
	list := make([]AccountKeys, 0, n)
	for i := range n {
		list = append(list, holder(fmt.Sprintf("account-%d", i), fmt.Sprintf("k%d", i), fmt.Sprintf("l%d", i)))
	}
	return list
}

// Guards against accounts that take the memory of an entry, which has 144 MB in all.
func TestMemoryOf26000Accounts(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	a, _ := NewAccounts(manyAccounts(26_000))
	used := heap() - before
	require.Equal(t, 26_000, a.Len())
	require.Less(t, used, uint64(20<<20))
	t.Logf("%d bytes an account", used/26_000)
}

func BenchmarkByKey26000Accounts(b *testing.B) {
	a, _ := NewAccounts(manyAccounts(26_000))
	key := "k12345"
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := a.ByKey(DigestKey(key)); !ok {
			b.Fatal("not found")
		}
	}
}

func BenchmarkNewAccounts26000(b *testing.B) {
	list := manyAccounts(26_000)
	b.ReportAllocs()
	for b.Loop() {
		NewAccounts(list)
	}
}

func BenchmarkChangeOneOf26000Accounts(b *testing.B) {
	list := manyAccounts(26_000)
	a, _ := NewAccounts(list)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		list[i%len(list)].Account.Rate++
		a, _ = a.With(list)
	}
}

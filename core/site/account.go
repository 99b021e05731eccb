package site

import (
	"crypto/sha256"
	"maps"
	"math"
	"slices"
	"strings"
	"unicode"

	"github.com/ansel1/merry/v2"
)

// KeyDigest is the SHA-256 of an account's key. Keys themselves are neither stored nor sent on.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account. Values are immutable.
type Account struct {
	Name string
	// Priority is the rank of the account's requests, which goes before that of their routes; 0 is the most urgent. It is
	// valid if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate bounds the account's online requests a second over all nodes, Burst those at a time beyond it; a Rate of 0
	// means no limit.
	Rate  float64
	Burst float64
}

// Limited reports whether the account has a limit.
func (a Account) Limited() bool { return a.Rate > 0 }

// Rank returns the rank of a request of the account on a route with a priority.
func (a Account) Rank(routePriority int) int {
	if a.HasPriority {
		return a.Priority
	}
	return routePriority
}

// AccountKeys is an account with the digests of its keys.
type AccountKeys struct {
	Account Account
	Keys    []KeyDigest
}

// ErrBadAccount means that an account can't be used as it is configured.
var ErrBadAccount = merry.Sentinel("bad account")

// accountShards is the number of parts of Accounts, of which a change of one account copies two or three.
const accountShards = 256

// Accounts are the client accounts of a configuration. The zero value holds none. Values are immutable.
type Accounts struct {
	keys  [accountShards]map[KeyDigest]string
	names [accountShards]map[string]AccountKeys
	n     int
}

// NewAccounts returns accounts, and the errors of what is left out: an invalid account, accounts of one name, and a key
// that two accounts hold, since nobody can tell whose it is.
func NewAccounts(list []AccountKeys) (*Accounts, []error) {
	return new(Accounts).With(list)
}

// With returns the accounts of a later configuration. What has not changed is shared with a.
func (a *Accounts) With(list []AccountKeys) (*Accounts, []error) {
	list, errs := usable(list)
	next := &Accounts{keys: a.keys, names: a.names, n: len(list)}
	edit := editor{accounts: next}
	kept := make(map[string]struct{}, len(list))
	var changed []AccountKeys
	for _, k := range list {
		kept[k.Account.Name] = struct{}{}
		if before, ok := a.byName(k.Account.Name); !ok || before.Account != k.Account || !slices.Equal(before.Keys, k.Keys) {
			changed = append(changed, k)
		}
	}
	for _, shard := range a.names {
		for name, before := range shard {
			if _, ok := kept[name]; !ok {
				edit.remove(before)
			}
		}
	}
	for _, k := range changed {
		if before, ok := a.byName(k.Account.Name); ok {
			edit.remove(before)
		}
	}
	for _, k := range changed { // after all removals, since a key may move from one account to another
		edit.add(k)
	}
	return next, errs
}

// Len returns the number of accounts.
func (a *Accounts) Len() int {
	if a == nil {
		return 0
	}
	return a.n
}

// ByKey returns the account that holds a key, by its digest.
func (a *Accounts) ByKey(d KeyDigest) (Account, bool) {
	if a == nil {
		return Account{}, false
	}
	name, ok := a.keys[keyShard(d)][d]
	if !ok {
		return Account{}, false
	}
	return a.ByName(name)
}

// ByName returns the account with a name.
func (a *Accounts) ByName(name string) (Account, bool) {
	if a == nil {
		return Account{}, false
	}
	k, ok := a.byName(name)
	return k.Account, ok
}

func (a *Accounts) byName(name string) (AccountKeys, bool) {
	k, ok := a.names[nameShard(name)][name]
	return k, ok
}

func keyShard(d KeyDigest) int { return int(d[0]) }

// nameShard is the FNV-1a hash of a name, folded to a byte.
func nameShard(name string) int {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(byte(h ^ h>>8 ^ h>>16 ^ h>>24))
}

// editor changes accounts of which some parts may be shared with others.
type editor struct {
	accounts  *Accounts
	ownsKeys  [accountShards]bool
	ownsNames [accountShards]bool
}

func (e *editor) keys(d KeyDigest) map[KeyDigest]string {
	i := keyShard(d)
	if !e.ownsKeys[i] {
		e.accounts.keys[i], e.ownsKeys[i] = cloned(e.accounts.keys[i]), true
	}
	return e.accounts.keys[i]
}

func (e *editor) names(name string) map[string]AccountKeys {
	i := nameShard(name)
	if !e.ownsNames[i] {
		e.accounts.names[i], e.ownsNames[i] = cloned(e.accounts.names[i]), true
	}
	return e.accounts.names[i]
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func (e *editor) add(k AccountKeys) {
	e.names(k.Account.Name)[k.Account.Name] = k
	for _, d := range k.Keys {
		e.keys(d)[d] = k.Account.Name
	}
}

func (e *editor) remove(k AccountKeys) {
	delete(e.names(k.Account.Name), k.Account.Name)
	for _, d := range k.Keys {
		delete(e.keys(d), d)
	}
}

// usable returns the accounts that can be used, and the errors of the others.
func usable(list []AccountKeys) ([]AccountKeys, []error) {
	var errs []error
	names, holders := make(map[string]int, len(list)), make(map[KeyDigest]string, len(list))
	shared := make(map[KeyDigest]bool)
	for _, k := range list {
		names[k.Account.Name]++
		for _, d := range k.Keys {
			if other, ok := holders[d]; ok && other != k.Account.Name {
				shared[d] = true
				errs = append(errs, merry.Errorf("accounts %s and %s: a key is in both: %w", other, k.Account.Name, ErrBadAccount))
			}
			holders[d] = k.Account.Name
		}
	}
	out := make([]AccountKeys, 0, len(list))
	for _, k := range list {
		name := k.Account.Name
		switch {
		case !validAccountName(name):
			errs = append(errs, merry.Errorf("account %q: unusable name: %w", name, ErrBadAccount))
		case names[name] > 1:
			errs = append(errs, merry.Errorf("account %s: name used twice: %w", name, ErrBadAccount))
		case len(k.Keys) > maxAccountKeys:
			errs = append(errs, merry.Errorf("account %s: %d keys: %w", name, len(k.Keys), ErrBadAccount))
		case !validLimit(k.Account.Rate) || !validLimit(k.Account.Burst):
			errs = append(errs, merry.Errorf("account %s: limit of %g a second, burst %g: %w", name, k.Account.Rate, k.Account.Burst, ErrBadAccount))
		default:
			if slices.ContainsFunc(k.Keys, func(d KeyDigest) bool { return shared[d] }) {
				k.Keys = slices.DeleteFunc(slices.Clone(k.Keys), func(d KeyDigest) bool { return shared[d] })
			}
			out = append(out, k)
		}
	}
	return out, errs
}

// maxAccountKeys bounds the keys of an account, which takes the memory of all nodes.
const maxAccountKeys = 1000

// maxAccountName bounds the name of an account in bytes, which is sent in a header.
const maxAccountName = 256

func validAccountName(name string) bool {
	return name != "" && len(name) <= maxAccountName && strings.TrimSpace(name) == name &&
		!strings.ContainsFunc(name, func(r rune) bool { return unicode.IsControl(r) || r == unicode.ReplacementChar })
}

func validLimit(n float64) bool { return n >= 0 && !math.IsInf(n, 0) && !math.IsNaN(n) }

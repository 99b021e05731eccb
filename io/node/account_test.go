package node

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// keyOf returns headers with a key.
func keyOf(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// twoAccounts returns two accounts, the first with two keys.
func twoAccounts() []fake.Account {
	return []fake.Account{{Name: "desk team", Keys: []string{"key-a1", "key-a2"}}, {Name: "press", Keys: []string{"key-b"}}}
}

// runAccountSite runs a test with a site that has the accounts of twoAccounts and a public route.
func runAccountSite(t *testing.T, ownRuns int, test func(t *testing.T, s *testSite)) {
	runSiteOf(t, ownRuns, func(t *testing.T, s *testSite) {
		s.configureAccounts(2, twoAccounts()...)
		time.Sleep(time.Second)
		test(t, s)
	})
}

func (s *testSite) configureAccounts(version int, accounts ...fake.Account) {
	open := fake.Route{Name: "open", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond, Public: true}
	s.objects.Configure(version, append(routes(), open), accounts...)
}

// arrivals returns what arrived at all upstreams for a request or an item.
func (s *testSite) arrivals(id string) []fake.Arrival {
	var out []fake.Arrival
	for _, e := range append(s.engines, s.desk) {
		for _, a := range e.Arrived() {
			if a.ID == id {
				out = append(out, a)
			}
		}
	}
	return out
}

// requireAccount checks that each copy of a request names an account and bears no key.
func (s *testSite) requireAccount(id, account string) {
	arrived := s.arrivals(id)
	require.NotEmpty(s.t, arrived, id)
	for _, a := range arrived {
		require.Equal(s.t, account, a.Account, id)
		require.False(s.t, a.Keyed, "the key of %s reached an upstream", id)
	}
}

func TestRequestsNeedOneKnownKey(t *testing.T) {
	runAccountSite(t, 64, func(t *testing.T, s *testSite) {
		for _, tc := range []struct {
			name, path string
			header     http.Header
			status     int
			account    string
		}{
			{"key", "/fetch/1", keyOf("key-a1"), http.StatusOK, "desk team"},
			{"second key", "/fetch/1", keyOf("key-a2"), http.StatusOK, "desk team"},
			{"scheme in lower case", "/fetch/1", http.Header{"Authorization": {"bearer key-b"}}, http.StatusOK, "press"},
			{"name that the caller sends", "/fetch/1", http.Header{"Authorization": {"Bearer key-b"}, "Mothcart-Tenant": {"desk team"}}, http.StatusOK, "press"},
			{"public route", "/open/1", nil, http.StatusOK, ""},
			{"public route, unknown key and a name", "/open/1", http.Header{"Authorization": {"Bearer odd"}, "Mothcart-Tenant": {"press"}}, http.StatusOK, ""},
			{"no key", "/fetch/1", nil, http.StatusUnauthorized, ""},
			{"unknown key", "/fetch/1", keyOf("key-c"), http.StatusUnauthorized, ""},
			{"empty key", "/fetch/1", keyOf(""), http.StatusUnauthorized, ""},
			{"other scheme", "/fetch/1", http.Header{"Authorization": {"Basic key-b"}}, http.StatusUnauthorized, ""},
			{"two headers", "/fetch/1", http.Header{"Authorization": {"Bearer key-b", "Bearer key-b"}}, http.StatusUnauthorized, ""},
			{"name without a key", "/fetch/1", http.Header{"Mothcart-Tenant": {"press"}}, http.StatusUnauthorized, ""},
			{"job without a key", "/lot/1", nil, http.StatusUnauthorized, ""},
			{"no route", "/none/1", keyOf("key-b"), http.StatusNotFound, ""},
		} {
			id := strings.ReplaceAll(tc.name, " ", "-")
			r := s.callWith(t.Context(), 1, http.MethodPost, tc.path, id, "hello", tc.header)
			require.Equal(t, tc.status, r.status, tc.name)
			if tc.status == http.StatusOK {
				s.requireAccount(id, tc.account)
			} else {
				require.Empty(t, s.arrivals(id), tc.name)
			}
		}
	})
}

// Guards against an attempt that names no account, or the wrong one, on any of the ways on which requests and items go.
func TestAccountIsNamedOnEachWay(t *testing.T) {
	ask := func(s *testSite, n int, id string) reply {
		return s.callWith(s.t.Context(), n, http.MethodPost, "/ask/stream/1", id, "hello", keyOf("key-b"))
	}
	for _, tc := range []struct {
		name    string
		ownRuns int
		prepare func(s *testSite)
	}{
		{"first attempt", 64, func(*testSite) {}},
		{"stream that breaks and goes on elsewhere", 64, func(s *testSite) { s.engines[0].SetFaults(fake.EngineFaults{BreakAfter: 3}) }},
		{"upstream that fails", 64, func(s *testSite) { s.engines[0].SetFaults(fake.EngineFaults{Status: 500}) }},
		{"silent upstream", 64, func(s *testSite) { s.engines[0].SetFaults(fake.EngineFaults{Unresponsive: true}) }},
		{"items at another home node", 0, func(*testSite) {}},
		{"home killed", 64, func(s *testSite) { s.killHome(1) }},
		{"all home nodes killed", 64, func(s *testSite) { s.killHome(1); s.killHome(2) }},
		{"object service down", 64, func(s *testSite) { s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}}) }},
		{"through another entry", 64, func(s *testSite) { s.strand(1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runAccountSite(t, tc.ownRuns, func(t *testing.T, s *testSite) {
				job := s.callWith(t.Context(), 2, http.MethodPost, "/lot/1", "j1", string(fake.JobBody("j1", 6, []byte("draft"))), keyOf("key-a1"))
				require.Equal(t, http.StatusAccepted, job.status)
				time.Sleep(300 * time.Millisecond) // the first items run
				tc.prepare(s)
				served := 0
				for i := range 8 {
					id := "r" + string(rune('0'+i))
					if r := ask(s, 1, id); r.status == http.StatusOK {
						s.requireAccount(id, "press")
						served++
					}
					time.Sleep(200 * time.Millisecond)
				}
				require.NotZero(t, served)
				time.Sleep(3 * time.Second)
				items := 0
				for i := range 6 {
					if id := fake.ItemID("j1", i); len(s.arrivals(id)) > 0 {
						s.requireAccount(id, "desk team")
						items++
					}
				}
				require.NotZero(t, items)
			})
		})
	}
}

// strand cuts an entry off from all upstreams.
func (s *testSite) strand(n int) {
	for _, engine := range []int{1, 2, 3, 9} {
		s.network.Partition(entryIP(n), engineIP(engine))
	}
}

func TestJobsBelongToTheirAccount(t *testing.T) {
	runAccountSite(t, 64, func(t *testing.T, s *testSite) {
		call := func(n int, method, path, id, body, key string) reply {
			return s.callWith(t.Context(), n, method, path, id, body, keyOf(key))
		}
		body := string(fake.JobBody("j1", 40, []byte("draft")))
		require.Equal(t, http.StatusAccepted, call(1, http.MethodPost, "/lot/1", "j1", body, "key-a1").status)
		require.Equal(t, http.StatusAccepted, call(2, http.MethodPost, "/lot/1", "j1", body, "key-a2").status, "sent again with another key")
		require.Equal(t, http.StatusConflict, call(2, http.MethodPost, "/lot/1", "j1", body, "key-b").status, "another account's ID")
		last := fake.ItemID("j1", 39)
		for _, n := range []int{1, 2} {
			for _, tc := range []struct {
				key    string
				status int
			}{{"key-a2", http.StatusOK}, {"key-b", http.StatusNotFound}, {"key-c", http.StatusUnauthorized}} {
				require.Equal(t, tc.status, call(n, http.MethodGet, fake.ResultsPath("j1", 0), "q", "", tc.key).status, tc.key)
				require.Equal(t, tc.status, call(n, http.MethodGet, fake.ItemPath("j1", last), "q", "", tc.key).status, tc.key)
			}
			require.Equal(t, http.StatusNotFound, call(n, http.MethodDelete, fake.EndPath("j1"), "q", "", "key-b").status)
		}
		s.configureAccounts(3, fake.Account{Name: "desk team", Keys: []string{"key-a2"}}, fake.Account{Name: "press", Keys: []string{"key-b"}})
		time.Sleep(time.Second)
		require.Equal(t, http.StatusUnauthorized, call(1, http.MethodGet, fake.ResultsPath("j1", 0), "q", "", "key-a1").status)
		r := call(1, http.MethodGet, fake.ResultsPath("j1", 0), "q", "", "key-a2")
		before, err := fake.DecodeResults(r.body)
		require.NoError(t, err)
		require.Equal(t, 40, before.Total)
		time.Sleep(2 * time.Second)
		after, err := fake.DecodeResults(call(2, http.MethodGet, fake.ResultsPath("j1", 0), "q", "", "key-a2").body)
		require.NoError(t, err)
		require.Greater(t, after.Next, before.Next, "a withdrawn key ends no job")
		require.Equal(t, http.StatusOK, call(2, http.MethodDelete, fake.EndPath("j1"), "q", "", "key-a2").status)
	})
}

// Guards against one account that uses up the room of all on a batch route.
func TestTokenCapCountsEachAccount(t *testing.T) {
	runAccountSite(t, 64, func(t *testing.T, s *testSite) {
		for _, e := range s.engines {
			e.SetFaults(fake.EngineFaults{Unresponsive: true})
		}
		for _, tc := range []struct {
			id, key string
			status  int
		}{
			{"j1", "key-a1", http.StatusAccepted}, // 6,000 of 10,000 tokens
			{"j2", "key-a2", http.StatusTooManyRequests},
			{"j3", "key-b", http.StatusAccepted},
			{"j4", "key-b", http.StatusTooManyRequests},
		} {
			r := s.callWith(t.Context(), 1, http.MethodPost, "/lot/1", tc.id, string(fake.JobBody(tc.id, 60, []byte("draft"))), keyOf(tc.key))
			require.Equal(t, tc.status, r.status, tc.id)
		}
	})
}

// Guards against a withdrawn key that is accepted again, from whatever a node learns what was in force.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	status := func(s *testSite, n int, key string) int {
		return s.callWith(s.t.Context(), n, http.MethodPost, "/fetch/1", "q", "", keyOf(key)).status
	}
	restartEntry := func(s *testSite, n int) {
		id := "e" + string(rune('0'+n))
		s.entries[id].Close()
		delete(s.entries, id)
		s.startEntry(n)
		time.Sleep(2 * time.Second)
	}
	down := fake.Fault{Down: map[string]bool{"": true}}
	for _, tc := range []struct {
		name string
		then func(s *testSite)
	}{
		{"nothing happens", func(*testSite) {}},
		{"entry starts again", func(s *testSite) { restartEntry(s, 1) }},
		{"entry starts again without the object service", func(s *testSite) { s.objects.SetFault(down); restartEntry(s, 1) }},
		{"home nodes start again from their disks, without the object service", func(s *testSite) {
			s.objects.SetFault(down)
			for n := range 2 {
				s.killHome(n + 1)
				s.startHome(n + 1)
			}
			restartEntry(s, 1)
		}},
		{"home lost", func(s *testSite) { s.killHome(1); time.Sleep(3 * time.Second) }},
		{"object service loses its history", func(s *testSite) { s.objects.Compact() }},
		{"entry is cut off from all", func(s *testSite) {
			for _, ip := range []string{storeIP, homeIP(1), homeIP(2), entryIP(2)} {
				s.network.Partition(entryIP(1), ip)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runAccountSite(t, 64, func(t *testing.T, s *testSite) {
				require.Equal(t, http.StatusOK, status(s, 1, "key-a1"))
				s.configureAccounts(3, fake.Account{Name: "desk team", Keys: []string{"key-a2"}}, fake.Account{Name: "press", Keys: []string{"key-b"}})
				time.Sleep(time.Second)
				tc.then(s)
				time.Sleep(time.Second)
				require.Equal(t, http.StatusUnauthorized, status(s, 1, "key-a1"))
				require.Equal(t, http.StatusOK, status(s, 1, "key-a2"))
			})
		})
	}
	t.Run("key of another account now", func(t *testing.T) {
		runAccountSite(t, 64, func(t *testing.T, s *testSite) {
			s.configureAccounts(3, fake.Account{Name: "desk team", Keys: []string{"key-a2"}}, fake.Account{Name: "press", Keys: []string{"key-b", "key-a1"}})
			time.Sleep(time.Second)
			require.Equal(t, http.StatusOK, s.callWith(t.Context(), 1, http.MethodPost, "/fetch/1", "moved", "", keyOf("key-a1")).status)
			s.requireAccount("moved", "press")
		})
	})
}

// Guards against keys outside of the memory of the nodes that check them.
func TestKeysAreNotSaved(t *testing.T) {
	runAccountSite(t, 64, func(t *testing.T, s *testSite) {
		time.Sleep(time.Second)
		state := s.homes["s1"].base.siteState()
		require.NotEmpty(t, state.Views)
		for kind, view := range state.Views {
			for _, o := range view.Objects {
				require.NotContains(t, string(o.Spec), "key-a1", kind)
			}
			for _, e := range view.Events {
				require.NotContains(t, string(e.Object.Spec), "key-a1", kind)
			}
		}
		saved := 0
		for _, dir := range s.disks {
			require.NoError(t, filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
				if err != nil || d.IsDir() {
					return err
				}
				b, err := os.ReadFile(path)
				require.False(t, bytes.Contains(b, []byte("key-a1")), path)
				saved++
				return err
			}))
		}
		require.NotZero(t, saved)
	})
}

// Guards against a node that answers before it knows which keys there are.
func TestNodeWithoutConfigurationRefusesKeys(t *testing.T) {
	runAccountSite(t, 64, func(t *testing.T, s *testSite) {
		s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
		s.killHome(1)
		s.killHome(2)
		s.startEntry(3)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.Equal(t, http.StatusServiceUnavailable, s.callWith(ctx, 3, http.MethodPost, "/fetch/1", "q", "", keyOf("key-a1")).status)
		require.Equal(t, http.StatusServiceUnavailable, s.callWith(ctx, 3, http.MethodPost, "/fetch/1", "q", "", keyOf("odd")).status)
		require.Zero(t, s.runsOf("q"))
	})
}

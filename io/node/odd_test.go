package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

// listedKinds are the kinds that nodes read, the last two those of job j.
var listedKinds = []string{
	platform.KindUpstreams, platform.KindConfig, platform.KindRetirements, "mothcart-jobs", "mothcart-homes", "mothcart-lease", "mothcart-listed",
	"mothcart-results-j", "mothcart-parts-j",
}

func (s *testSite) bases() []*base {
	var list []*base
	for _, e := range s.entries {
		list = append(list, e.base)
	}
	for _, h := range s.homes {
		list = append(list, h.base)
	}
	return list
}

// requireView requires that all nodes have a configuration, use an upstream, and reach the object service.
func (s *testSite) requireView(version int64, upstream, message string) {
	for _, b := range s.bases() {
		id := b.opts.Settings.VMID
		require.Equal(s.t, version, b.currentConfig().Version, "%s: %s", id, message)
		b.mu.Lock()
		list, _ := b.directory.Upstreams(b.opts.Now())
		b.mu.Unlock()
		found := false
		for _, u := range list {
			found = found || u.ID == upstream
			require.False(s.t, strings.HasPrefix(u.ID, "odd"), "%s uses an odd entry: %s", id, message)
		}
		require.True(s.t, found, "%s doesn't know %s: %s", id, upstream, message)
		require.False(s.t, b.objectsDown(), "%s: %s", id, message)
	}
}

// requireFollowed changes the configuration and the upstreams, and requires that all nodes follow, and that a job and a call
// are answered.
func (s *testSite) requireFollowed(step int, message string) {
	upstream := fmt.Sprintf("i-%d", 20+step)
	e := fake.NewEngine(s.network, fake.EngineOptions{
		ID: upstream, Service: "desk", Address: engineIP(20+step) + ":80", Zone: "z1", Slots: 4, Born: 1, Pace: pace, Objects: s.objects,
	})
	defer s.objects.RemoveUpstream(upstream)
	defer e.Crash()
	s.writeConfig(step + 10)
	time.Sleep(2 * time.Second)
	s.requireView(int64(step+10), upstream, message)
	job := fmt.Sprintf("j%d", step)
	require.Equal(s.t, http.StatusAccepted, s.submitJob(1, job, 2).status, message)
	s.awaitJob(2, job, 10*time.Second)
	require.Equal(s.t, http.StatusOK, s.call(s.t.Context(), 1, http.MethodGet, "/fetch/1", fmt.Sprintf("r%d", step), "").status, message)
}

// Guards against nodes that stop following the object service, or end, by one odd entry of another writer.
func TestOddEntryStopsNobody(t *testing.T) {
	runRecordedSite(t, func(t *testing.T, s *testSite) {
		step := 0
		for i, odd := range fake.OddEntries() {
			for _, kind := range listedKinds {
				s.objects.WriteOdd(kind, fmt.Sprintf("odd-%d", i), odd)
			}
			s.requireFollowed(step, odd.What+", watched")
			step++
			if i%4 == 0 {
				s.objects.Compact()
				s.requireFollowed(step, odd.What+", listed")
				step++
			}
		}
		for _, id := range []string{"e1", "e2"} {
			require.Positive(t, count(s.entries[id].base, "entries.leftOut")+count(s.homes["s1"].base, "entries.leftOut"))
		}
		lines := s.recorded.String()
		for _, kind := range []string{platform.KindUpstreams, platform.KindConfig, platform.KindRetirements, "mothcart-jobs", "mothcart-homes"} {
			require.Contains(t, lines, `"kind":"`+kind+`","name":"odd-9"`, "the odd entry is named")
		}
		require.Contains(t, lines, `"message":"entryLeftOut"`)
	})
}

// Guards against a home that can't begin, or a job that is lost, by odd entries that a listing shows.
func TestHomeBeginsBesideOddEntries(t *testing.T) {
	for i, odd := range fake.OddEntries() {
		if i%3 != 0 && odd.Named {
			continue
		}
		t.Run(odd.What, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "before", 20).status)
				for _, kind := range listedKinds {
					s.objects.WriteOdd(kind, "odd", odd)
				}
				s.killHome(1)
				time.Sleep(5 * time.Second)
				require.True(t, s.homes["s2"].IsHome())
				s.awaitJob(2, "before", 15*time.Second)
				s.startHome(1)
				time.Sleep(time.Second)
				s.requireFollowed(0, odd.What)
				s.objects.Retire("s2")
				time.Sleep(10 * time.Second)
				require.True(t, s.objects.Retired("s2"), "the retirement beside the odd one")
			})
		})
	}
}

// Guards against an upstream that is used on although its entry can't be read any more, and against one that is not used
// again once it can be.
func TestEntryThatBecomesOddNamesNoUpstream(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		for i, odd := range fake.OddEntries() {
			if !odd.Named {
				continue
			}
			s.objects.WriteOdd(platform.KindUpstreams, "i-9", odd)
			time.Sleep(4 * time.Second)
			id := fmt.Sprintf("r%d", i)
			s.call(t.Context(), 1, http.MethodGet, "/fetch/1", id, "")
			require.Zero(t, s.runsOf(id), odd.What)
			if i%2 == 0 {
				s.objects.RemoveUpstream("i-9")
				time.Sleep(time.Second)
			}
			s.objects.WriteOdd(platform.KindUpstreams, "i-9", fake.OddEntry{Raw: `{"metadata":{"name":"NAME","revision":REVISION},"spec":` +
				`{"service":"desk","address":"` + engineIP(9) + `:80","zone":"z1","version":"v1","slots":4,"state":"ready","born":1}}`})
			time.Sleep(4 * time.Second)
			require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodGet, "/fetch/1", id+"b", "").status, odd.What)
		}
	})
}

// Guards against a job whose items don't run any more since another writer left an entry among its results or parts.
func TestOddEntryAmongResultsOrPartsLosesNoJob(t *testing.T) {
	for _, items := range []int{20, 60} { // the items of the larger job are in parts
		for i, odd := range fake.OddEntries() {
			if i%5 != 0 && odd.Named {
				continue
			}
			t.Run(fmt.Sprintf("%d items, %s", items, odd.What), func(t *testing.T) {
				runSite(t, func(t *testing.T, s *testSite) {
					body := make([]byte, 20)
					if items == 60 {
						body = make([]byte, 16<<10)
					}
					require.Equal(t, http.StatusAccepted, s.submitBodies(1, "j", items, body).status)
					s.objects.WriteOdd("mothcart-results-j", "odd", odd)
					s.objects.WriteOdd("mothcart-parts-j", "00000", odd)
					s.killHome(1)
					time.Sleep(5 * time.Second)
					s.awaitJob(2, "j", 30*time.Second)
				})
			})
		}
	}
}

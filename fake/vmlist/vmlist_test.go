package vmlist

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mothcart/core/vm"
	"mothcart/io/vmlist"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	e1 = vm.VM{ID: "e1", Group: vm.EntryGroup}
	e2 = vm.VM{ID: "e2", Group: vm.EntryGroup}
)

func TestHTTP(t *testing.T) {
	l := New()
	server := httptest.NewServer(l.Handler())
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	l.Set([]vm.VM{e1})
	got := make(chan []vm.VM, 10)
	w := vmlist.New(vmlist.NewOptions(vmlist.NewHTTP(server.URL, "e1", http.DefaultClient)).WithOnList(func(vms []vm.VM) { got <- vms }))
	defer w.Close()
	assert.Equal(t, []vm.VM{e1}, <-got)
	l.Set([]vm.VM{e1, e2.WithLeaving(true)})
	assert.Equal(t, []vm.VM{e1, e2.WithLeaving(true)}, <-got)
}

// A fault must delay what the reader sees until its end and no longer, and must not make the reader poll the
// list without pause.
func TestFaultsInVirtualTime(t *testing.T) {
	const wait = 20 * time.Second
	for _, tc := range []struct {
		name  string
		fault func(l *List)
		// seenAfter bounds the time until the reader sees both VMs; the fault ends at 30 s.
		seenAfter time.Duration
	}{
		{"no fault", func(*List) {}, 0},
		{"lag", func(l *List) { l.SetLag("e1", 5*time.Second) }, 5 * time.Second},
		{"lag of another reader", func(l *List) { l.SetLag("e2", time.Minute) }, 0},
		{"list of its own", func(l *List) { l.SetFor("e1", []vm.VM{e1}) }, 30 * time.Second},
		{"outage", func(l *List) { l.SetOutage(true) }, 35 * time.Second},
		{"silence", func(l *List) { l.SetUnresponsive(true) }, 35 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New()
				l.Set([]vm.VM{e1})
				w := vmlist.New(vmlist.NewOptions(l.Client("e1")).WithWait(wait, time.Second))
				defer w.Close()
				synctest.Wait()
				require.Len(t, w.Current().VMs, 1)
				tc.fault(l)
				l.Set([]vm.VM{e1, e2})
				started := time.Now()
				for len(w.Current().VMs) < 2 {
					if time.Since(started) == 30*time.Second {
						l.SetOutage(false)
						l.SetUnresponsive(false)
						l.ClearFor("e1")
					}
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
					require.LessOrEqual(t, time.Since(started), time.Minute)
				}
				assert.LessOrEqual(t, time.Since(started), tc.seenAfter+200*time.Millisecond)
				assert.Less(t, l.Reads(), uint64(40))
			})
		})
	}
}

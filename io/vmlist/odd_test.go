package vmlist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"mothcart/core/vm"
	"mothcart/io/rawjson"
)

// Guards against one odd VM in the list with which all others are lost.
func TestOddVMLosesNoOther(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{
		`null`, `"odd"`, `[]`, `7`, `{}`, `{"id":7}`, `{"id":"m","address":7}`, `{"id":"m","leaving":"yes"}`, `{"id":"m","note":` + deep + `}`, deep,
		"{\"id\":\"\xff\",\"address\":\"10.0.0.9:1\"}",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write([]byte(`{"revision":3,"vms":[{"id":"a","address":"10.0.0.1:1"},` + odd + `,{"id":"z","address":"10.0.0.2:1"}]}`))
			require.NoError(t, err)
		}))
		l, err := NewHTTP(server.URL, "e1", http.DefaultClient).Read(t.Context(), 0, 0)
		server.Close()
		require.NoError(t, err, "%.60s", odd)
		require.Equal(t, uint64(3), l.Revision)
		require.Equal(t, []vm.VM{{ID: "a", Address: "10.0.0.1:1"}, {ID: "z", Address: "10.0.0.2:1"}}, l.VMs, "%.60s", odd)
		require.Len(t, l.LeftOut, 1)
	}
}

// Guards against a list that is left out in silence.
func TestOddVMIsCounted(t *testing.T) {
	r := metrics.NewRegistry()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"revision":3,"vms":[null,{"id":"a","address":"10.0.0.1:1"}]}`))
		require.NoError(t, err)
	}))
	defer server.Close()
	got := make(chan []vm.VM, 1)
	w := New(NewOptions(NewHTTP(server.URL, "e1", http.DefaultClient)).WithRegistry(r).WithOnList(func(vms []vm.VM) { got <- vms }))
	defer w.Close()
	require.Len(t, <-got, 1)
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("vmlist.leftOut", r).Count())
}

// Any bytes as a VM: nothing panics, and if they are a single one, the VMs beside it are read.
func FuzzVMs(f *testing.F) {
	for _, seed := range []string{`null`, `7`, `{"id":7}`, `{"id":"m","leaving":"yes"}`, `[[]]`, `"\"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := decode([]byte(`{"revision":3,"vms":[{"id":"a"},` + string(raw) + `,{"id":"z"}]}`))
		value, unsplit := rawjson.Value(append(raw, ','))
		if unsplit != nil || strings.TrimSpace(string(raw)) != string(value) {
			return
		}
		require.NoError(t, err)
		require.Equal(t, "a", l.VMs[0].ID)
		require.Equal(t, "z", l.VMs[len(l.VMs)-1].ID)
	})
}

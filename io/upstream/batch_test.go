package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"mothcart/core/config"
	"mothcart/core/vm"
	"mothcart/io/engine"
)

const oneToken = `data: {"id":"r","choices":[{"delta":{"content":"lily "}}]}` + "\n\n"

// batchEngine starts an engine that sends the first token at once and the rest when release is closed.
func batchEngine(t *testing.T, release <-chan struct{}, started chan<- string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("X-Resume-From") == "" {
			_, _ = w.Write([]byte(oneToken))
		}
		_ = http.NewResponseController(w).Flush()
		started <- r.Header.Get("X-Resume-From")
		select {
		case <-release:
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// itemCounts counts the callbacks of an item.
type itemCounts struct{ started, done, returned atomic.Int32 }

func (c *itemCounts) item(idempotent bool) BatchItem {
	return BatchItem{
		ID: "i1", Model: "m", Path: engine.ChatPath, Body: []byte("{}"), Idempotent: idempotent, Context: context.Background(),
		Begin:  func() bool { c.started.Add(1); return true },
		Done:   func(BatchResult) { c.done.Add(1) },
		Return: func() { c.returned.Add(1) },
	}
}

// When an online request arrives, an idempotent item is preempted and resumes at the next token. An item
// that is not idempotent runs to its end, since it could not be sent again.
func TestPreemption(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
	}{{"idempotent", true}, {"not idempotent", false}} {
		t.Run(tc.name, func(t *testing.T) {
			release, started := make(chan struct{}), make(chan string, 4)
			client := engine.New(engine.NewOptions())
			defer client.Close()
			opts := HomeOptions{Batch: client, Control: client, Registry: metrics.NewRegistry()}
			opts.Items.Take = func(string, int) []BatchItem { return nil }
			e := newEngineHome(time.Now(), opts, vm.VM{ID: "e1", Address: batchEngine(t, release, started)}, config.Service{Name: "s", Kind: config.KindPlain}, nil)
			var counts itemCounts
			assert.True(t, e.startItem(time.Now(), counts.item(tc.idempotent), nil, 10))
			assert.Empty(t, <-started)
			e.mu.Lock()
			e.batch["i1"].preempt()
			e.mu.Unlock()
			if tc.idempotent {
				var paused []pausedItem
				assert.Eventually(t, func() bool {
					paused = e.takePaused(time.Now(), 1)
					return len(paused) == 1
				}, 10*time.Second, time.Millisecond)
				want := ""
				if n := paused[0].answer.Tokens(); n > 0 {
					want = strconv.Itoa(n)
				}
				assert.True(t, e.startItem(time.Now(), paused[0].item, paused[0].answer, 10))
				assert.Equal(t, want, <-started)
			}
			close(release)
			assert.Eventually(t, func() bool { return counts.done.Load() == 1 }, 10*time.Second, time.Millisecond)
			e.close()
			assert.EqualValues(t, 1, counts.started.Load())
			assert.Zero(t, counts.returned.Load())
		})
	}
}

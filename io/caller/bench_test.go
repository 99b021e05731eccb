package caller

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mothcart/core/config"
	"mothcart/core/vm"
	"mothcart/io/engine"
	"mothcart/io/upstream"
)

const benchKey = "bench-key"

// newBench starts a caller handler in front of one fake engine that sends tokens as fast as it can.
func newBench(b *testing.B, tokens int) *httptest.Server {
	chunk := []byte(`data: {"id":"r","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"lily "},"finish_reason":null}]}` + "\n\n")
	upstreamServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for range tokens {
			_, _ = w.Write(chunk)
			_ = control.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	b.Cleanup(upstreamServer.Close)
	set := config.Set{
		Services:       []config.Service{{Name: "s", Kind: config.KindEngine, MaxConcurrency: 1 << 16, QueueLimit: 10, ProgressTimeout: time.Minute}},
		UpstreamGroups: []config.UpstreamGroup{{Name: "g", Service: "s", Label: "g"}},
		Models:         []config.Model{{Name: "m", Service: "s"}},
		Teams:          []config.Team{{Name: "t"}},
		Accounts:       []config.Account{{Name: "a", Team: "t", KeyHash: HashKey(benchKey)}},
	}
	snapshot := config.NewSnapshot(1, set)
	list := []vm.VM{{ID: "e", Group: "g", Address: upstreamServer.Listener.Addr().String()}}
	clients := engine.New(engine.NewOptions())
	b.Cleanup(clients.Close)
	router := upstream.New(upstream.NewOptions(vm.VM{ID: "v"}, clients).WithSnapshot(func() *config.Snapshot { return snapshot }).
		WithUpstreams(func() ([]vm.VM, uint64) { return list, 1 }))
	b.Cleanup(router.Close)
	server := httptest.NewServer(New(NewOptions(router).WithSnapshot(func() *config.Snapshot { return snapshot })))
	b.Cleanup(server.Close)
	return server
}

func benchStream(b *testing.B, url string) {
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+benchKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	if last != "data: [DONE]" {
		b.Fatal(fmt.Errorf("stream ended with %q", last))
	}
}

// BenchmarkRelayedTokens measures the elapsed time per relayed token. The fake engine and the client run in
// the same process and share its processors, so the handler's own cost is less than the result.
func BenchmarkRelayedTokens(b *testing.B) {
	const tokens = 2000
	server := newBench(b, tokens)
	start := time.Now()
	n := 0
	for b.Loop() {
		benchStream(b, server.URL)
		n += tokens
	}
	b.ReportMetric(float64(n)/time.Since(start).Seconds(), "tokens/s")
	b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(n), "ns/token")
}

// BenchmarkRequests measures complete requests of one token, including the cost of the fake engine and the
// client.
func BenchmarkRequests(b *testing.B) {
	server := newBench(b, 1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			benchStream(b, server.URL)
		}
	})
}

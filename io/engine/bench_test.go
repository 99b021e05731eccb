package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkLoad measures one call for a load report, including the cost of the fake engine.
func BenchmarkLoad(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"running":12,"waiting":0,"kvUsedTokens":12000,"kvCapacityTokens":60000,"maxRunning":64,"models":["scribe","scribe-next"]}`))
	}))
	defer server.Close()
	c := New(NewOptions())
	defer c.Close()
	for b.Loop() {
		if _, err := c.Load(context.Background(), server.Listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
}

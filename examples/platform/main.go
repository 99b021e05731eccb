// Command platform simulates the users' platform in this process: an object service, two model engines,
// a home node and an entry node. It sends one online request and runs one batch job.
//
// Usage:
//
//	go run ./examples/platform
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/io/node"
	"mothcart/platform"
	"mothcart/platform/fake"
)

const (
	storeAddress = "10.9.0.1:80"
	entryIP      = "10.1.0.1"
	homeIP       = "10.2.0.1"
	callerIP     = "10.8.0.1"
	// runTimeout is the time limit of the whole run: the start of the site, the request and the job.
	runTimeout = 20 * time.Second
	// retryInterval is the time between two attempts of a call.
	retryInterval = 100 * time.Millisecond
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	network := fake.NewNetwork()
	objects := fake.NewObjects(network, storeAddress)
	defer objects.Close()
	objects.Configure(1, []fake.Route{
		{Name: "ask", Kind: fake.Streaming, Service: "scribe", Attempts: 2, Resumable: true, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond},
		{Name: "lot", Kind: fake.Batch, Service: "scribe", Attempts: 3, Timeout: 15 * time.Second, Objective: 400 * time.Millisecond, TokenCap: 10000},
	})
	for i := range 2 {
		fake.NewEngine(network, fake.EngineOptions{
			ID: fmt.Sprintf("i-%d", i), Service: "scribe", Address: fmt.Sprintf("10.3.0.%d:80", i+1), Zone: "z1", Slots: 4, Born: 1,
			Events: 12, Pace: 20 * time.Millisecond, Objects: objects,
		})
	}
	home, err := node.NewHomeNode(ctx, nodeOptions(network, "home", homeIP))
	if err != nil {
		return merry.Errorf("start home: %w", err)
	}
	defer home.Close()
	entry, err := node.NewEntry(ctx, nodeOptions(network, "entry", entryIP))
	if err != nil {
		return merry.Errorf("start entry: %w", err)
	}
	defer entry.Close()

	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, callerIP, address)
	}}}
	answer, err := callUntil(ctx, client, http.MethodPost, "/ask/stream/1", "q1", "Who arranges the flowers on Sunday?", func(string) bool { return true })
	if err != nil {
		return merry.Errorf("ask: %w", err)
	}
	fmt.Println("answer:", fake.TextOf(answer))
	if _, err := callUntil(ctx, client, http.MethodPost, "/lot/1", "j1", string(fake.JobBody("j1", 5, []byte("Draft the roster."))), func(string) bool { return true }); err != nil {
		return merry.Errorf("submit job: %w", err)
	}
	complete := func(body string) bool {
		results, err := fake.DecodeResults(body)
		return err == nil && results.Next == results.Total
	}
	if _, err := callUntil(ctx, client, http.MethodGet, fake.ResultsPath("j1", 0), "r1", "", complete); err != nil {
		return merry.Errorf("read job: %w", err)
	}
	fmt.Println("job: all 5 items are done")
	return nil
}

// nodeOptions returns the options of a node on the in-memory network.
func nodeOptions(network *fake.Network, vm, ip string) node.Options {
	o := node.NewOptions(platform.Settings{
		VMID: vm, AvailabilityZone: "z1", IP: ip, PeerPort: 7000, StoreAddress: storeAddress, ValueBytes: 1 << 20,
		CallerAddress: ip + ":80", ReadyAddress: ip + ":81",
		Heartbeat: 1200 * time.Millisecond, Grace: 8 * time.Second, Drain: 2 * time.Second, ResultRetention: 2 * time.Minute,
	}, "", zerolog.Nop(), metrics.NewRegistry())
	o.Listen = network.Listen
	o.Connect = func(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
		return func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return network.Dial(ctx, ip, address)
		}
	}
	return o
}

// callUntil repeats a call until it succeeds and done reports true for the body of its answer.
func callUntil(ctx context.Context, client *http.Client, method, path, id, body string, done func(body string) bool) (string, error) {
	status := 0
	for {
		r, err := http.NewRequestWithContext(ctx, method, "http://"+entryIP+":80"+path, strings.NewReader(body))
		if err != nil {
			return "", merry.Errorf("request %s: %w", path, err)
		}
		r.Host = fake.Host
		r.Header.Set(platform.RequestIDHeader, id)
		if resp, err := client.Do(r); err == nil {
			status = resp.StatusCode
			b, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close() // an error has no effect: the body has been read
			if err == nil && resp.StatusCode < http.StatusMultipleChoices && done(string(b)) {
				return string(b), nil
			}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return "", merry.Errorf("%s %s, last status %d: %w", method, path, status, ctx.Err())
		}
	}
}

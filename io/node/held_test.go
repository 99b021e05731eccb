package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

// longRoute serves streams that take minutes.
var longRoute = fake.Route{Name: "long", Kind: fake.Streaming, Service: "raw", Attempts: 3, Resumable: true, Timeout: 5 * time.Minute, Objective: 300 * time.Millisecond}

// unreadLimit is the time after which an upstream cuts an answer that stays unread, in these tests.
const unreadLimit = 3 * time.Second

// addRaw starts upstreams of the service raw and writes a route to them. The function returned ends them.
func (s *testSite) addRaw(count, slots int, answer func(w io.Writer, id string)) (list []*fake.Raw, end func()) {
	s.writeConfig(2, longRoute)
	for n := 21; n < 21+count; n++ {
		list = append(list, fake.NewRaw(s.network, fake.EngineOptions{
			ID: fmt.Sprintf("i-%d", n), Service: "raw", Address: engineIP(n) + ":80", Zone: "z1", Slots: slots, Born: 1, Objects: s.objects,
		}, answer))
	}
	time.Sleep(2 * time.Second)
	return list, func() {
		for n := range list {
			s.network.CloseHost(engineIP(21 + n))
		}
	}
}

const eventStream = "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n"

// chunk frames bytes as a chunk of an answer; without bytes it is the end.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// event returns an event of a stream with data of a size in bytes.
func event(n, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", size))
}

// longCall sends a request of longRoute and returns its connection once it is sent.
func (s *testSite) longCall(id string) (io.ReadCloser, error) {
	conn, err := s.network.Dial(s.t.Context(), "10.8.0.1", entryIP(1)+":80")
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "POST /long/stream/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", fake.Host, "Mothcart-Request-Id", id)
	return conn, err
}

// Guards against streams that an upstream cuts because their caller reads slowly, and against callers that are cut though
// they read.
func TestSlowCallerGetsItsStream(t *testing.T) {
	const events, size = 20, 10 << 10
	runSite(t, func(t *testing.T, s *testSite) {
		var longest atomic.Int64
		raw, end := s.addRaw(1, 4, func(w io.Writer, id string) {
			text := fake.RawHead(id) + eventStream
			for n := 1; n <= events; n++ {
				began := time.Now()
				if _, err := io.WriteString(w, text+chunk(event(n, size))); err != nil {
					return
				}
				longest.Store(max(longest.Load(), int64(time.Since(began))))
				text = ""
			}
			_, _ = io.WriteString(w, chunk(""))
		})
		defer end()
		conn, err := s.longCall("r1")
		require.NoError(t, err)
		defer conn.Close()
		resp, err := http.ReadResponse(bufio.NewReaderSize(&slowReader{conn, 4 << 10, time.Second}, 16), nil)
		require.NoError(t, err)
		got, n := 0, 0
		require.NoError(t, fake.EachEvent(resp.Body, func(id int, data string) { got += len(data); n = id }))
		require.Equal(t, events, n)
		require.Equal(t, events*size, got)
		require.Less(t, time.Duration(longest.Load()), unreadLimit, "the upstream must not wait for the caller")
		require.Equal(t, 1, raw[0].Attempts("r1"))
	})
}

// slowReader reads some bytes at a time, after a pause each.
type slowReader struct {
	r     io.Reader
	step  int
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.r.Read(p[:min(len(p), s.step)])
}

// Guards against callers that read nothing and hold a slot, a connection and memory for minutes.
func TestStalledCallerIsEnded(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		raw, end := s.addRaw(1, 4, endless(headWith("Content-Type: text/event-stream\r\n\r\n"), event(1, 1000)))
		defer end()
		conn, err := s.longCall("r1")
		require.NoError(t, err)
		defer conn.Close()
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, raw[0].Open())
		time.Sleep(5 * time.Second)
		require.Zero(t, raw[0].Open())
		require.LessOrEqual(t, raw[0].Largest(), int64(300<<10), "what is read ahead is bounded")
	})
}

// Guards against streams that stay at an upstream which sends only what keeps the connection open, and against sound ones
// that are cut because an event takes long on a slow link.
func TestMovingBytesKeepAStreamAndAByteNowAndThenDoesNot(t *testing.T) {
	head := headWith("Content-Type: text/event-stream\r\n\r\n")
	for _, tc := range []struct {
		name string
		// text is sent by the first upstream asked, a piece at a time with a pause before each.
		text  string
		piece int
		pause time.Duration
		keeps bool
	}{
		{"a large event on a slow link", event(1, 100<<10), 4 << 10, 100 * time.Millisecond, true},
		{"comments", event(1, 10) + strings.Repeat(": wait\n\n", 1000), 8, 100 * time.Millisecond, false},
		{"empty lines", event(1, 10) + strings.Repeat("\n", 1000), 1, 100 * time.Millisecond, false},
		{"a byte of an event now and then", event(1, 1000), 1, 100 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				var first atomic.Bool
				raw, end := s.addRaw(2, 4, func(w io.Writer, id string) {
					_, err := io.WriteString(w, head(id))
					if !first.CompareAndSwap(false, true) {
						return // the stream can be resumed here
					}
					for text := tc.text; err == nil && text != ""; text = text[min(tc.piece, len(text)):] {
						time.Sleep(tc.pause)
						_, err = io.WriteString(w, text[:min(tc.piece, len(text))])
					}
				})
				defer end()
				conn, err := s.longCall("r1")
				require.NoError(t, err)
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				time.Sleep(2400 * time.Millisecond)
				attempts := raw[0].Attempts("r1") + raw[1].Attempts("r1")
				conn.Close()
				if tc.keeps {
					require.Equal(t, 1, attempts)
				} else {
					require.Equal(t, 2, attempts)
				}
			})
		})
	}
}

// Guards against bodies that are cut since they take longer than a fixed time on a slow link.
func TestSlowBodyIsRead(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		_, end := s.addRaw(1, 4, func(w io.Writer, id string) {
			_, _ = io.WriteString(w, fake.RawHead(id)+"Content-Type: text/event-stream\r\nContent-Length: 23\r\n\r\n"+event(1, 9))
		})
		defer end()
		const size = 200 << 10
		body := &slowReader{strings.NewReader(strings.Repeat("x", size)), 4 << 10, time.Second}
		began := time.Now()
		require.Equal(t, http.StatusOK, s.slowBody("/long/stream/1", "r1", body, size))
		require.Greater(t, time.Since(began), 40*time.Second)
	})
}

// Load: 200 bodies of 4 MB arrive at once at an entry that may hold a few of them.
func TestBodiesShareTheMemory(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		const bodies, size = 200, 4_000_000
		e := s.entries["e1"]
		text := strings.Repeat("x", size)
		var all sync.WaitGroup
		var served, refused atomic.Int32
		for i := range bodies {
			id := fmt.Sprintf("r%d", i)
			all.Go(func() {
				switch s.slowBody("/fetch/1", id, &slowReader{strings.NewReader(text), 4 << 10, 500 * time.Microsecond}, size) {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
					require.Zero(t, s.desk.Runs(id))
				}
			})
		}
		var most int64
		full := false
		for range 200 {
			held := gauge(e.base, "held.bytes")
			most, full = max(most, held), full || !e.Ready()
			time.Sleep(5 * time.Millisecond)
		}
		all.Wait()
		t.Logf("%d served, %d refused as not run, at most %d MB of %d MB held", served.Load(), refused.Load(), most>>20, gauge(e.base, "held.limitBytes")>>20)
		require.LessOrEqual(t, most, gauge(e.base, "held.limitBytes"))
		require.True(t, full, "the load balancer is told")
		require.Positive(t, served.Load())
		require.Positive(t, refused.Load())
		require.True(t, e.Ready(), "and told again")
		require.Zero(t, gauge(e.base, "held.bytes"))
		require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/fetch/1", "later", "hello").status)
	})
}

// slowBody sends a request with a body of a size and returns the status of its answer.
func (s *testSite) slowBody(path, id string, body io.Reader, size int64) int {
	conn, err := s.network.Dial(s.t.Context(), "10.8.0.1", entryIP(1)+":80")
	require.NoError(s.t, err)
	defer conn.Close()
	r, err := http.NewRequest(http.MethodPost, "http://"+fake.Host+path, io.NopCloser(body))
	require.NoError(s.t, err)
	r.ContentLength = size
	r.Header.Set(platform.RequestIDHeader, id)
	go func() { _ = r.Write(conn) }() // the node may answer before all is sent
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(s.t, err)
	resp.Body.Close()
	return resp.StatusCode
}

func gauge(b *base, name string) int64 {
	return b.opts.Registry.Get(name).(interface{ Value() int64 }).Value()
}

// Load: 2,000 callers of one entry read a long stream slowly, a third of them not at all.
func TestThousandsOfSlowCallersShareTheMemory(t *testing.T) {
	const callers, events, size = 2000, 40, 8 << 10
	runSite(t, func(t *testing.T, s *testSite) {
		var text []byte
		for n := 1; n <= events; n++ {
			text = append(text, chunk(event(n, size))...)
		}
		text = append(text, chunk("")...)
		_, end := s.addRaw(1, callers, func(w io.Writer, id string) {
			_, _ = io.WriteString(w, fake.RawHead(id)+eventStream)
			_, _ = w.Write(text) // fails if the stream is cut, which the caller sees
		})
		defer end()
		e := s.entries["e1"]
		before := heapBytes()
		var all sync.WaitGroup
		var whole, cut, refused, stalled atomic.Int32
		for i := range callers {
			all.Go(func() {
				conn, err := s.longCall(fmt.Sprintf("r%d", i))
				require.NoError(t, err)
				defer conn.Close()
				if i%3 == 0 {
					time.Sleep(time.Minute)
					stalled.Add(1)
					return
				}
				resp, err := http.ReadResponse(bufio.NewReader(&slowReader{conn, 4 << 10, time.Second / 4}), nil)
				require.NoError(t, err)
				n := 0
				err = fake.EachEvent(resp.Body, func(id int, _ string) { n = id })
				switch {
				case resp.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
				case err == nil && n == events:
					whole.Add(1)
				default:
					cut.Add(1)
				}
			})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		held, grown := gauge(e.base, "held.bytes"), heapBytes()-before
		all.Wait()
		limit := gauge(e.base, "held.limitBytes")
		t.Logf("%d whole, %d cut, %d refused, %d stalled; %d MB of %d MB held, heap grown by %d MB", whole.Load(), cut.Load(), refused.Load(), stalled.Load(), held>>20, limit>>20, grown>>20)
		require.LessOrEqual(t, held, limit)
		require.LessOrEqual(t, grown, 2*limit, "the callers and the upstream of the test share the heap")
		require.Zero(t, cut.Load(), "those that read keep their streams")
		require.Zero(t, gauge(e.base, "held.bytes"))
		require.Zero(t, gauge(e.base, "held.callersBehind"))
	})
}

// heapBytes returns the bytes of live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

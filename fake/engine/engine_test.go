package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func fastOptions() Options {
	return NewOptions().WithStep(time.Millisecond, 10*time.Microsecond, time.Microsecond)
}

func newEngine(t *testing.T, opts Options) *Engine {
	t.Helper()
	e, err := New(opts)
	require.NoError(t, err)
	t.Cleanup(func() {
		e.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return e
}

func post(t *testing.T, e *Engine, path, body string, headers ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// readTokens returns the text and the token indexes of a stream, and whether the stream reached its end.
func readTokens(body io.Reader) (text string, indexes []string, complete bool) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			indexes = append(indexes, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, indexes, true
		}
		var c completion
		if json.Unmarshal([]byte(data), &c) == nil && c.Choices[0].Delta != nil {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, indexes, false
}

const (
	chatStream = `{"model":"rota-scribe","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"who"}]}`
	longStream = `{"model":"rota-scribe","stream":true,"max_tokens":4000,"messages":[{"role":"user","content":"who"}]}`
)

// A resumed stream must continue at the requested token and must not count as another run.
func TestStreamAndResume(t *testing.T) {
	e := newEngine(t, fastOptions())
	want := Answer("rota-scribe", ChatPrompt("user", "who"), 8)
	res := post(t, e, "/v1/chat/completions", chatStream, HeaderRequestID, "a", HeaderResumable, "1")
	require.Equal(t, "a", res.Header.Get(HeaderRequestID))
	text, indexes, complete := readTokens(res.Body)
	require.True(t, complete)
	require.Equal(t, want, text)
	require.Equal(t, []string{"0", "1", "2", "3", "4", "5", "6", "7"}, indexes)
	res = post(t, e, "/v1/chat/completions", chatStream, HeaderRequestID, "a", HeaderResumeFrom, "5")
	text, indexes, _ = readTokens(res.Body)
	require.True(t, strings.HasSuffix(want, text))
	require.Equal(t, []string{"5", "6", "7"}, indexes)
	require.Equal(t, 1, e.Ran("a"))
}

func TestCompleteAnswers(t *testing.T) {
	e := newEngine(t, fastOptions())
	tests := []struct {
		name, path, body string
		status           int
		contains         string
	}{
		{"chat", "/v1/chat/completions", `{"model":"rota-scribe","max_tokens":2,"messages":[{"role":"user","content":"who"}]}`, 200, Answer("rota-scribe", ChatPrompt("user", "who"), 2)},
		{"completion", "/v1/completions", `{"model":"rota-scribe","max_tokens":2,"prompt":"who"}`, 200, Answer("rota-scribe", "who", 2)},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"who"}`, 404, "model_not_found"},
		{"hopeless", "/v1/completions", `{"model":"rota-scribe","prompt":"[hopeless]"}`, 500, "computation_failed"},
		{"bad body", "/v1/completions", `{`, 400, "invalid_request_error"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res := post(t, e, tt.path, tt.body)
			body, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, res.StatusCode)
			require.Contains(t, string(body), tt.contains)
		})
	}
}

func TestCancelAbortsStream(t *testing.T) {
	e := newEngine(t, fastOptions())
	res := post(t, e, "/v1/chat/completions", longStream, HeaderRequestID, "a")
	require.Equal(t, http.StatusNoContent, post(t, e, "/v1/requests/a/cancel", "").StatusCode)
	_, _, complete := readTokens(res.Body)
	require.False(t, complete)
	running, waiting := e.Running()
	require.Zero(t, running+waiting)
	require.Equal(t, http.StatusNotFound, post(t, e, "/v1/requests/a/cancel", "").StatusCode)
}

func TestCrashClosesConnectionsAndLosesState(t *testing.T) {
	e := newEngine(t, fastOptions())
	res := post(t, e, "/v1/chat/completions", longStream)
	e.Crash()
	_, _, complete := readTokens(res.Body)
	require.False(t, complete)
	_, err := http.Get("http://" + e.Address() + "/v1/models")
	require.Error(t, err)
	require.NoError(t, e.Restart())
	running, _ := e.Running()
	require.Zero(t, running)
	_, _, complete = readTokens(post(t, e, "/v1/chat/completions", chatStream).Body)
	require.True(t, complete)
}

func TestStreamFaults(t *testing.T) {
	e := newEngine(t, fastOptions().WithMismatchedShare(1).WithShuffleShare(1))
	res := post(t, e, "/v1/chat/completions", chatStream, HeaderRequestID, "a")
	require.NotEqual(t, "a", res.Header.Get(HeaderRequestID))
	_, indexes, _ := readTokens(res.Body)
	require.Equal(t, []string{"1", "0", "3", "2", "5", "4", "7", "6"}, indexes)
	e.SetStalledShare(1)
	e.SetShuffleShare(0)
	e.SetMismatchedShare(0)
	res = post(t, e, "/v1/chat/completions", chatStream, HeaderRequestID, "b")
	reader := bufio.NewReader(res.Body)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "id: 0\n", line)
	e.SetStalledShare(0)
	res = post(t, e, "/v1/chat/completions", chatStream, HeaderRequestID, "b", HeaderResumeFrom, "1")
	_, indexes, complete := readTokens(res.Body)
	require.True(t, complete)
	require.Len(t, indexes, 7)
}

// An order with an older fencing number must be refused with CheckFencing, and accepted without.
func TestOrdersAndFencing(t *testing.T) {
	for _, check := range []bool{true, false} {
		t.Run(strconv.FormatBool(check), func(t *testing.T) {
			e := newEngine(t, fastOptions().WithCheckFencing(check).WithLoadDelay(0))
			first := post(t, e, "/v1/orders", `{"fencingNumber":5,"models":[{"name":"textsetzer"}]}`)
			require.Equal(t, http.StatusNoContent, first.StatusCode)
			old := post(t, e, "/v1/orders", `{"fencingNumber":4,"models":[{"name":"rota-scribe"}]}`)
			require.Equal(t, check, old.StatusCode == http.StatusConflict)
			require.Equal(t, check, e.models()[0] == "textsetzer")
		})
	}
}

// BenchmarkRequests sends short requests to 12 engines in one process.
func BenchmarkRequests(b *testing.B) {
	var engines []*Engine
	for range 12 {
		e, err := New(NewOptions().WithStep(time.Millisecond, time.Microsecond, 0).WithCapacity(512, 1_000_000))
		require.NoError(b, err)
		defer e.Close()
		engines = append(engines, e)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	body := `{"model":"rota-scribe","max_tokens":4,"prompt":"who"}`
	b.SetParallelism(32)
	next := atomic.Int64{}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			e := engines[int(next.Add(1))%len(engines)]
			res, err := client.Post("http://"+e.Address()+"/v1/completions", "application/json", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

package serve_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/config"
	"mothcart/core/vm"
	"mothcart/fake/engine"
	"mothcart/fake/fleet"
	"mothcart/io/serve"
)

// waitTimeout bounds the wait for an event that must happen; it does not say how soon the event should.
const waitTimeout = 30 * time.Second

func startSite(t *testing.T, opts fleet.Options) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(opts)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, f.Ready(ctx))
	return f
}

func fastEngine() engine.Options {
	return engine.NewOptions().WithCapacity(16, 30000).WithStep(3*time.Millisecond, 50*time.Microsecond, 5*time.Microsecond)
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) ran() string { return a.header.Get("Mothcart-Ran") }

// post sends one request to a VM; headers are pairs of name and value.
func post(s *serve.Server, path, body string, headers ...string) answer {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+fleet.OnlineKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

const chatPath = "/v1/chat/completions"

func chatBody(prompt string, tokens int) string {
	body, _ := json.Marshal(openai.ChatCompletionNewParams{
		Model: fleet.Model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)}, MaxTokens: openai.Int(int64(tokens)),
	})
	return string(body)
}

func contentOf(t *testing.T, body string) string {
	var c openai.ChatCompletion
	require.NoError(t, json.Unmarshal([]byte(body), &c), body)
	require.NotEmpty(t, c.Choices, body)
	return c.Choices[0].Message.Content
}

func expectedAnswer(prompt string, tokens int) string {
	return engine.Answer(fleet.Model, engine.ChatPrompt("user", prompt), tokens)
}

// sendMany sends n concurrent requests, spread over the VMs, and checks that each answer is complete.
func sendMany(t *testing.T, f *fleet.Fleet, n, tokens int) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		servers := f.Servers()
		wg.Go(func() {
			prompt := fmt.Sprintf("line %d", i)
			a := post(servers[i%len(servers)], chatPath, chatBody(prompt, tokens))
			if assert.NoError(t, a.err) && assert.Equal(t, http.StatusOK, a.status, a.body) {
				assert.Equal(t, expectedAnswer(prompt, tokens), contentOf(t, a.body))
			}
		})
	}
	wg.Wait()
}

func TestOfficialClientWorksUnchanged(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine()))
	client := openai.NewClient(option.WithBaseURL("http://"+f.Server(0).CallerAddress()+"/v1"), option.WithAPIKey(fleet.OnlineKey))
	params := openai.ChatCompletionNewParams{
		Model: fleet.Model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxTokens: openai.Int(8),
	}
	completion, err := client.Chat.Completions.New(context.Background(), params)
	require.NoError(t, err)
	assert.Equal(t, expectedAnswer("hello", 8), completion.Choices[0].Message.Content)
	assert.EqualValues(t, 8, completion.Usage.CompletionTokens)

	var text strings.Builder
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	require.NoError(t, stream.Err())
	assert.Equal(t, expectedAnswer("hello", 8), text.String())

	models, err := client.Models.List(context.Background())
	require.NoError(t, err)
	assert.Equal(t, fleet.Model, models.Data[0].ID)
}

func TestBadRequestsDidNotRun(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine()))
	for _, tc := range []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{"no JSON", chatPath, "{", nil, 400, "invalid_body"},
		{"two values", chatPath, chatBody("a", 1) + "{}", nil, 400, "invalid_body"},
		{"no model", chatPath, `{"messages":[]}`, nil, 400, "invalid_body"},
		{"unknown model", chatPath, `{"model":"x","messages":[]}`, nil, 404, "model_not_found"},
		{"service as model", chatPath, `{"model":"rota-scribe","messages":[]}`, nil, 404, "model_not_found"},
		{"unknown key", chatPath, chatBody("a", 1), []string{"Authorization", "Bearer nobody"}, 401, "invalid_api_key"},
		{"no key", chatPath, chatBody("a", 1), []string{"Authorization", ""}, 401, "invalid_api_key"},
		{"long key", chatPath, chatBody("a", 1), []string{"Authorization", "Bearer " + strings.Repeat("k", 5000)}, 401, "invalid_api_key"},
		{"bad deadline", chatPath, chatBody("a", 1), []string{"Mothcart-Deadline-Ms", "soon"}, 400, "bad_deadline"},
		{"bad idempotency header", chatPath, chatBody("a", 1), []string{"Mothcart-Idempotent", "perhaps"}, 400, "bad_header"},
		{"large body", chatPath, `{"model":"` + strings.Repeat("m", 5<<20) + `"}`, nil, 413, "body_too_large"},
		{"unknown path", "/v1/other", "", nil, 404, "unknown_url"},
		{"unknown service", "/services/none/x", "", nil, 404, "service_not_found"},
		{"engines as plain service", "/services/rota-scribe/x", "", nil, 404, "service_not_found"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := post(f.Server(0), tc.path, tc.body, tc.headers...)
			require.NoError(t, a.err)
			assert.Equal(t, tc.status, a.status, a.body)
			assert.Contains(t, a.body, `"code":"`+tc.code+`"`)
			assert.Equal(t, "no", a.ran())
			assert.NotEmpty(t, a.header.Get("Mothcart-Request-Id")+a.header.Get("Date"))
		})
	}
	assert.Zero(t, f.Engines[0].Dispatches())
}

func TestAnswersStayCompleteUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(f *fleet.Fleet)
		during func(f *fleet.Fleet)
	}{
		{"engine dies in the middle of streams", nil, func(f *fleet.Fleet) {
			time.Sleep(40 * time.Millisecond)
			f.Engines[0].Crash()
		}},
		{"connections stop responding", func(f *fleet.Fleet) {
			for _, e := range f.Engines {
				e.SetStalledShare(0.3)
			}
		}, nil},
		{"tokens out of order", func(f *fleet.Fleet) {
			for _, e := range f.Engines {
				e.SetShuffleShare(0.5)
			}
		}, nil},
		// Retries are limited to 20% of requests and to 4 attempts each, and a request beyond these limits ends
		// with an error. The share of faults stays well below them.
		{"mismatched answers", func(f *fleet.Fleet) {
			for _, e := range f.Engines {
				e.SetMismatchedShare(0.05)
			}
		}, nil},
		{"object service unreachable", func(f *fleet.Fleet) { f.Store.SetOutage(true) }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opts := fleet.NewOptions().WithVMs(2).WithEngines(4, fastEngine())
			opts.ProgressTimeout = 300 * time.Millisecond
			f := startSite(t, opts)
			if tc.before != nil {
				tc.before(f)
			}
			var wg sync.WaitGroup
			if tc.during != nil {
				wg.Go(func() { tc.during(f) })
			}
			sendMany(t, f, 30, 40)
			wg.Wait()
		})
	}
}

// An answer with Mothcart-Ran: no promises that no engine ran the request, so that a caller can resend it.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	opts := fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine().WithCapacity(4, 30000))
	f := startSite(t, opts)
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused, served := 0, 0
	for i := range 300 {
		wg.Go(func() {
			a := post(f.Server(0), chatPath, chatBody(fmt.Sprintf("burst %d", i), 20), "Mothcart-Deadline-Ms", "1500")
			if !assert.NoError(t, a.err) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				served++
				return
			}
			if a.ran() == "no" {
				refused++
				assert.NotEmpty(t, a.header.Get("Retry-After"), a.body)
				assert.Zero(t, f.Engines[0].Ran(a.header.Get("Mothcart-Request-Id")))
			}
		})
	}
	wg.Wait()
	assert.Positive(t, refused)
	assert.Positive(t, served)
}

func TestDrainCompletesRequestsInProgress(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(2).WithEngines(2, fastEngine()))
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			prompt := fmt.Sprintf("drain %d", i)
			a := post(f.Server(0), chatPath, chatBody(prompt, 60))
			if assert.NoError(t, a.err) && assert.Equal(t, http.StatusOK, a.status) {
				assert.Equal(t, expectedAnswer(prompt, 60), contentOf(t, a.body))
			}
		})
	}
	require.Eventually(t, func() bool {
		running := 0
		for _, e := range f.Engines {
			n, _ := e.Running()
			running += n
		}
		return running > 0
	}, waitTimeout, time.Millisecond)
	f.DrainVM(0)
	wg.Wait()
}

// Only entry1's list marks engine0 as leaving; without the mark from its peers another VM would use engine0.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(3).WithEngines(3, fastEngine()))
	sendMany(t, f, 12, 4)
	var list []vm.VM
	for _, s := range f.Servers() {
		list = append(list, s.VM())
	}
	for i, e := range f.Engines {
		list = append(list, vm.VM{ID: fmt.Sprintf("engine%d", i), Group: fleet.EngineGroup, Region: "addis", AvailabilityZone: "arada", Address: e.Address(), Leaving: i == 0})
	}
	f.List.SetFor("entry1", list)
	require.Eventually(t, func() bool {
		for _, s := range f.Servers() {
			if !s.UpstreamLeaving("engine0") {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond)
	before := f.Engines[0].Dispatches()
	sendMany(t, f, 60, 4)
	assert.Equal(t, before, f.Engines[0].Dispatches())
}

func confirm(s *serve.Server, n int) answer {
	return post(s, "/services/"+fleet.PlainService+confirmPath(n), "widow 7", "Idempotency-Key", fmt.Sprintf("k%d", n), "Mothcart-Idempotent", "false", "Mothcart-Deadline-Ms", "2000")
}

func confirmPath(n int) string { return fmt.Sprintf("/confirm/%d", n) }

// The VM that received the confirmations is lost while they run; when they are sent again to the other VMs,
// each gets one outcome and none runs twice.
func TestConfirmationsSurviveTheLossOfTheirVM(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(3).WithEngines(1, fastEngine()))
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() { _ = confirm(f.Server(0), i) })
	}
	time.Sleep(8 * time.Millisecond)
	f.KillVM(0)
	wg.Wait()
	for i := range 40 {
		var last answer
		require.Eventually(t, func() bool {
			last = confirm(f.Server(1+i%2), i)
			return last.err == nil && (last.status == http.StatusOK || strings.Contains(last.body, "outcome_unknown"))
		}, waitTimeout, 100*time.Millisecond, last.body)
		other := confirm(f.Server(2-i%2), i)
		assert.Equal(t, last.status, other.status)
		assert.Equal(t, last.body, other.body)
		ran := 0
		for _, s := range f.Plain {
			ran += s.RanURL(confirmPath(i))
		}
		assert.LessOrEqual(t, ran, 1)
		if last.status == http.StatusOK {
			assert.Equal(t, 1, ran)
		}
	}
}

// A non-idempotent call that loses its connection is not retried, and its answer says that it may have run.
func TestNonIdempotentCallIsNotRepeated(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine()))
	for _, s := range f.Plain {
		s.AbortNext(1)
	}
	a := post(f.Server(0), "/services/"+fleet.PlainService+"/engrave", "plaque", "Mothcart-Idempotent", "false")
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusBadGateway, a.status)
	assert.Equal(t, "maybe", a.ran())
	assert.Equal(t, 1, f.Plain[0].Total()+f.Plain[1].Total())
	a = post(f.Server(0), "/services/"+fleet.PlainService+"/page", "", "Mothcart-Idempotent", "true")
	assert.Equal(t, http.StatusOK, a.status, "an idempotent call goes to another upstream")
}

// While the object service is unreachable, durable requests are refused as not run; others are still served.
func TestStoreOutageRefusesDurableWork(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(2).WithEngines(1, fastEngine()))
	f.Store.SetOutage(true)
	a := confirm(f.Server(0), 1)
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "no", a.ran())
	assert.NotEmpty(t, a.header.Get("Retry-After"))
	assert.Zero(t, f.Plain[0].Total()+f.Plain[1].Total())
	sendMany(t, f, 5, 4)
	f.Store.SetOutage(false)
	require.Eventually(t, func() bool { return confirm(f.Server(1), 1).status == http.StatusOK }, waitTimeout, 50*time.Millisecond)
}

func TestAcceptedRequestIsReadableOnEveryVM(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(3).WithEngines(1, fastEngine()))
	a := post(f.Server(0), chatPath, chatBody("swap", 6), "Prefer", "respond-async", "Idempotency-Key", "s1")
	require.NoError(t, a.err)
	require.Equal(t, http.StatusAccepted, a.status, a.body)
	f.KillVM(0)
	for _, s := range f.Servers() {
		require.Eventually(t, func() bool {
			r, _ := http.NewRequest(http.MethodGet, "http://"+s.CallerAddress()+a.header.Get("Location"), nil)
			r.Header.Set("Authorization", "Bearer "+fleet.OnlineKey)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			return bytes.Contains(body, []byte(`"state":"done"`)) && bytes.Contains(body, []byte(strings.TrimSpace(expectedAnswer("swap", 6))))
		}, waitTimeout, 50*time.Millisecond)
	}
}

// A new model that is configured through one VM is loaded on the orders of the engines' homes and served by
// every VM, while the old model is still served.
func TestDeclaredModelIsLoadedAndServed(t *testing.T) {
	f := startSite(t, fleet.NewOptions().WithVMs(3).WithEngines(4, fastEngine().WithLoadDelay(100*time.Millisecond)))
	set := f.Config()
	set.Models = append(set.Models, config.Model{Name: "scribe-next", Service: fleet.EngineService, Version: "2", MemoryMiB: 20000, Replicas: 2})
	require.NoError(t, f.Apply(context.Background(), 1, set))
	body := strings.Replace(chatBody("hello", 4), fleet.Model, "scribe-next", 1)
	for _, s := range f.Servers() {
		require.Eventually(t, func() bool { return post(s, chatPath, body).status == http.StatusOK }, waitTimeout, 20*time.Millisecond)
	}
	sendMany(t, f, 9, 4)
	require.Eventually(t, func() bool {
		holding := 0
		for _, e := range f.Engines {
			if slices.Contains(e.Loaded(), "scribe-next@2") {
				holding++
			}
		}
		return holding == 2
	}, waitTimeout, 10*time.Millisecond)
}

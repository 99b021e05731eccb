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

// patience bounds the wait for something that must happen; it is not a measure of speed.
const patience = 30 * time.Second

func site(t *testing.T, opts fleet.Options) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(opts)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

const chat = "/v1/chat/completions"

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

func rightAnswer(prompt string, tokens int) string {
	return engine.Answer(fleet.Model, engine.ChatPrompt("user", prompt), tokens)
}

// askMany sends n requests at once, spread over the VMs, and checks that each answer is whole.
func askMany(t *testing.T, f *fleet.Fleet, n, tokens int) {
	t.Helper()
	var all sync.WaitGroup
	for i := range n {
		servers := f.Servers()
		all.Go(func() {
			prompt := fmt.Sprintf("line %d", i)
			a := post(servers[i%len(servers)], chat, chatBody(prompt, tokens))
			if assert.NoError(t, a.err) && assert.Equal(t, http.StatusOK, a.status, a.body) {
				assert.Equal(t, rightAnswer(prompt, tokens), contentOf(t, a.body))
			}
		})
	}
	all.Wait()
}

func TestOfficialClientWorksUnchanged(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine()))
	client := openai.NewClient(option.WithBaseURL("http://"+f.Server(0).CallerAddress()+"/v1"), option.WithAPIKey(fleet.OnlineKey))
	params := openai.ChatCompletionNewParams{
		Model: fleet.Model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxTokens: openai.Int(8),
	}
	whole, err := client.Chat.Completions.New(context.Background(), params)
	require.NoError(t, err)
	assert.Equal(t, rightAnswer("hello", 8), whole.Choices[0].Message.Content)
	assert.EqualValues(t, 8, whole.Usage.CompletionTokens)

	var text strings.Builder
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	require.NoError(t, stream.Err())
	assert.Equal(t, rightAnswer("hello", 8), text.String())

	models, err := client.Models.List(context.Background())
	require.NoError(t, err)
	assert.Equal(t, fleet.Model, models.Data[0].ID)
}

func TestBadRequestsDidNotRun(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine()))
	for _, tc := range []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{"no JSON", chat, "{", nil, 400, "invalid_body"},
		{"two values", chat, chatBody("a", 1) + "{}", nil, 400, "invalid_body"},
		{"no model", chat, `{"messages":[]}`, nil, 400, "invalid_body"},
		{"unknown model", chat, `{"model":"x","messages":[]}`, nil, 404, "model_not_found"},
		{"service as model", chat, `{"model":"rota-scribe","messages":[]}`, nil, 404, "model_not_found"},
		{"unknown key", chat, chatBody("a", 1), []string{"Authorization", "Bearer nobody"}, 401, "invalid_api_key"},
		{"no key", chat, chatBody("a", 1), []string{"Authorization", ""}, 401, "invalid_api_key"},
		{"long key", chat, chatBody("a", 1), []string{"Authorization", "Bearer " + strings.Repeat("k", 5000)}, 401, "invalid_api_key"},
		{"bad deadline", chat, chatBody("a", 1), []string{"Mothcart-Deadline-Ms", "soon"}, 400, "bad_deadline"},
		{"bad mark", chat, chatBody("a", 1), []string{"Mothcart-Idempotent", "perhaps"}, 400, "bad_header"},
		{"large body", chat, `{"model":"` + strings.Repeat("m", 5<<20) + `"}`, nil, 413, "body_too_large"},
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

func TestAnswersStayWholeUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(f *fleet.Fleet)
		during func(f *fleet.Fleet)
	}{
		{"engine dies in the middle of streams", nil, func(f *fleet.Fleet) {
			time.Sleep(40 * time.Millisecond)
			f.Engines[0].Crash()
		}},
		{"connections go silent", func(f *fleet.Fleet) {
			for _, e := range f.Engines {
				e.SetSilentShare(0.3)
			}
		}, nil},
		{"tokens out of order", func(f *fleet.Fleet) {
			for _, e := range f.Engines {
				e.SetShuffleShare(0.5)
			}
		}, nil},
		// Retries are bounded to 20% of requests and 4 attempts, so the share of faults stays well
		// below; beyond it a request ends with a clear error.
		{"answers of other requests", func(f *fleet.Fleet) {
			for _, e := range f.Engines {
				e.SetForeignShare(0.05)
			}
		}, nil},
		{"object service out", func(f *fleet.Fleet) { f.Store.SetOutage(true) }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opts := fleet.NewOptions().WithVMs(2).WithEngines(4, fastEngine())
			opts.ProgressTimeout = 300 * time.Millisecond
			f := site(t, opts)
			if tc.before != nil {
				tc.before(f)
			}
			var done sync.WaitGroup
			if tc.during != nil {
				done.Go(func() { tc.during(f) })
			}
			askMany(t, f, 30, 40)
			done.Wait()
		})
	}
}

// A refusal with Mothcart-Ran: no must be true: the engine never ran the request.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	opts := fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine().WithCapacity(4, 30000))
	f := site(t, opts)
	var all sync.WaitGroup
	var mu sync.Mutex
	refused, served := 0, 0
	for i := range 300 {
		all.Go(func() {
			a := post(f.Server(0), chat, chatBody(fmt.Sprintf("burst %d", i), 20), "Mothcart-Deadline-Ms", "1500")
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
	all.Wait()
	assert.Positive(t, refused)
	assert.Positive(t, served)
}

func TestDrainCutsNothing(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(2).WithEngines(2, fastEngine()))
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() {
			prompt := fmt.Sprintf("drain %d", i)
			a := post(f.Server(0), chat, chatBody(prompt, 60))
			if assert.NoError(t, a.err) && assert.Equal(t, http.StatusOK, a.status) {
				assert.Equal(t, rightAnswer(prompt, 60), contentOf(t, a.body))
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
	}, patience, time.Millisecond)
	f.DrainVM(0)
	all.Wait()
}

// One VM hears from the list that an engine leaves; the others' lists lag for good.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(3).WithEngines(3, fastEngine()))
	askMany(t, f, 12, 4)
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
	}, patience, 10*time.Millisecond)
	before := f.Engines[0].Dispatches()
	askMany(t, f, 60, 4)
	assert.Equal(t, before, f.Engines[0].Dispatches())
}

func confirm(s *serve.Server, n int) answer {
	return post(s, "/services/"+fleet.PlainService+confirmPath(n), "widow 7", "Idempotency-Key", fmt.Sprintf("k%d", n), "Mothcart-Idempotent", "false", "Mothcart-Deadline-Ms", "2000")
}

func confirmPath(n int) string { return fmt.Sprintf("/confirm/%d", n) }

// The VM that took the confirmations dies with them; resends to the others get one outcome each,
// and no confirmation runs twice.
func TestConfirmationsSurviveTheLossOfTheirVM(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(3).WithEngines(1, fastEngine()))
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() { _ = confirm(f.Server(0), i) })
	}
	time.Sleep(8 * time.Millisecond)
	f.KillVM(0)
	all.Wait()
	for i := range 40 {
		var last answer
		require.Eventually(t, func() bool {
			last = confirm(f.Server(1+i%2), i)
			return last.err == nil && (last.status == http.StatusOK || strings.Contains(last.body, "outcome_unknown"))
		}, patience, 100*time.Millisecond, last.body)
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

// A call that may not be repeated and loses its connection is reported as such, and not repeated.
func TestNonIdempotentCallIsNotRepeated(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine()))
	for _, s := range f.Plain {
		s.CutNext(1)
	}
	a := post(f.Server(0), "/services/"+fleet.PlainService+"/engrave", "plaque", "Mothcart-Idempotent", "false")
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusBadGateway, a.status)
	assert.Equal(t, "maybe", a.ran())
	assert.Equal(t, 1, f.Plain[0].Total()+f.Plain[1].Total())
	a = post(f.Server(0), "/services/"+fleet.PlainService+"/page", "", "Mothcart-Idempotent", "true")
	assert.Equal(t, http.StatusOK, a.status, "an idempotent call goes to another upstream")
}

// With the object service out, durable work is refused as not run and plain online work goes on.
func TestStoreOutageRefusesDurableWork(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(2).WithEngines(1, fastEngine()))
	f.Store.SetOutage(true)
	a := confirm(f.Server(0), 1)
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "no", a.ran())
	assert.NotEmpty(t, a.header.Get("Retry-After"))
	assert.Zero(t, f.Plain[0].Total()+f.Plain[1].Total())
	askMany(t, f, 5, 4)
	f.Store.SetOutage(false)
	require.Eventually(t, func() bool { return confirm(f.Server(1), 1).status == http.StatusOK }, patience, 50*time.Millisecond)
}

func TestAcceptedRequestIsReadableOnEveryVM(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(3).WithEngines(1, fastEngine()))
	a := post(f.Server(0), chat, chatBody("swap", 6), "Prefer", "respond-async", "Idempotency-Key", "s1")
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
			return bytes.Contains(body, []byte(`"state":"done"`)) && bytes.Contains(body, []byte(strings.TrimSpace(rightAnswer("swap", 6))))
		}, patience, 50*time.Millisecond)
	}
}

// A new model declared on one VM is loaded by the engines' homes and served by every VM, while
// requests for the old one go on.
func TestDeclaredModelIsLoadedAndServed(t *testing.T) {
	f := site(t, fleet.NewOptions().WithVMs(3).WithEngines(4, fastEngine().WithLoadDelay(100*time.Millisecond)))
	set := f.Config()
	set.Models = append(set.Models, config.Model{Name: "scribe-next", Service: fleet.EngineService, Version: "2", MemoryMiB: 20000, Replicas: 2})
	require.NoError(t, f.Apply(context.Background(), 1, set))
	body := strings.Replace(chatBody("hello", 4), fleet.Model, "scribe-next", 1)
	for _, s := range f.Servers() {
		require.Eventually(t, func() bool { return post(s, chat, body).status == http.StatusOK }, patience, 20*time.Millisecond)
	}
	askMany(t, f, 9, 4)
	require.Eventually(t, func() bool {
		holding := 0
		for _, e := range f.Engines {
			if slices.Contains(e.Loaded(), "scribe-next@2") {
				holding++
			}
		}
		return holding == 2
	}, patience, 10*time.Millisecond)
}

package batches

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	fakestore "mothcart/fake/store"
	"mothcart/io/job"
)

// newServer starts the endpoints over one VM's jobs.
func newServer(t *testing.T) (*httptest.Server, *job.Jobs, *fakestore.Store) {
	s := fakestore.New(fakestore.NewOptions().WithRates(10_000, 10_000))
	opts := job.NewOptions("e1", s.Client()).WithStoreRates(5_000, 5_000)
	opts.Tick = 10 * time.Millisecond
	opts.CancelGrace = 10 * time.Millisecond
	j, err := job.New(opts)
	require.NoError(t, err)
	t.Cleanup(j.Close)
	server := httptest.NewServer(New(Options{
		Jobs: j,
		Authenticate: func(r *http.Request) (Caller, error) {
			if r.Header.Get("Authorization") != "Bearer secret" {
				return Caller{}, ErrUnauthenticated
			}
			return Caller{Account: "desk", Team: "parish"}, nil
		},
		Serves: func(model string) bool { return model == "scribe" },
	}))
	t.Cleanup(server.Close)
	return server, j, s
}

func newClient(server *httptest.Server, key string) openai.Client {
	return openai.NewClient(
		option.WithUnsafeAllowHTTP(),
		option.WithBaseURL(server.URL+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
}

func line(id, model string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"messages":[]}}`, id, model)
}

func lines(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(line(fmt.Sprintf("r%d", i), "scribe") + "\n")
	}
	return b.String()
}

func upload(t *testing.T, c openai.Client, content string) *openai.FileObject {
	f, err := c.Files.New(context.Background(), openai.FileNewParams{
		File:    openai.File(strings.NewReader(content), "rota.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	require.NoError(t, err)
	return f
}

func create(c openai.Client, fileID string) (*openai.Batch, error) {
	return c.Batches.New(context.Background(), openai.BatchNewParams{
		InputFileID:      fileID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
}

// OpenAI's client must be able to upload a file, create a batch, get the same batch for a resend, follow it,
// read both result files and delete the input file.
func TestOfficialClientRunsABatch(t *testing.T) {
	ctx := context.Background()
	server, j, _ := newServer(t)
	c := newClient(server, "secret")
	content := lines(300)
	f := upload(t, c, content)
	assert.EqualValues(t, len(content), f.Bytes)
	assert.Equal(t, content, read(t, c, f.ID))
	b, err := create(c, f.ID)
	require.NoError(t, err)
	resent, err := create(c, f.ID)
	require.NoError(t, err)
	assert.Equal(t, b.ID, resent.ID)
	assert.Equal(t, openai.BatchStatusInProgress, b.Status)

	for b.Status != openai.BatchStatusCompleted {
		for _, item := range j.Take("scribe", 64) {
			require.True(t, j.Start(item))
			if item.Index == 7 {
				j.Done(item, job.Result{Status: 400, Body: []byte(`{"error":"too long"}`)})
				continue
			}
			j.Done(item, job.Result{Status: 200, Body: []byte(`{"choices":[]}`)})
		}
		time.Sleep(10 * time.Millisecond)
		b, err = c.Batches.Get(ctx, b.ID)
		require.NoError(t, err)
	}
	assert.Equal(t, openai.BatchRequestCounts{Total: 300, Completed: 299, Failed: 1}, withoutJSON(b.RequestCounts))
	assert.Equal(t, 299, strings.Count(read(t, c, b.OutputFileID), `"status_code":200`))
	assert.Contains(t, read(t, c, b.ErrorFileID), `"custom_id":"r7","response":{"status_code":400`)
	list, err := c.Batches.List(ctx, openai.BatchListParams{})
	require.NoError(t, err)
	assert.Len(t, list.Data, 1)
	_, err = c.Batches.Cancel(ctx, b.ID)
	assertStatus(t, err, http.StatusConflict)
	deleted, err := c.Files.Delete(ctx, f.ID)
	require.NoError(t, err)
	assert.True(t, deleted.Deleted)
	_, err = c.Files.Get(ctx, f.ID)
	assertStatus(t, err, http.StatusNotFound)
}

func withoutJSON(n openai.BatchRequestCounts) openai.BatchRequestCounts {
	return openai.BatchRequestCounts{Total: n.Total, Completed: n.Completed, Failed: n.Failed}
}

func read(t *testing.T, c openai.Client, fileID string) string {
	resp, err := c.Files.Content(context.Background(), fileID)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

func assertStatus(t *testing.T, err error, status int) {
	t.Helper()
	var e *openai.Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, status, e.StatusCode)
}

// A cancellation during an outage of the object service must fail; after the outage it must succeed, and the
// error file must list every request as cancelled.
func TestOfficialClientCancelsABatch(t *testing.T) {
	server, _, s := newServer(t)
	c := newClient(server, "secret")
	b, err := create(c, upload(t, c, lines(10)).ID)
	require.NoError(t, err)
	s.SetOutage(true)
	_, err = c.Batches.Cancel(context.Background(), b.ID)
	assertStatus(t, err, http.StatusServiceUnavailable)
	s.SetOutage(false)
	b, err = c.Batches.Cancel(context.Background(), b.ID)
	require.NoError(t, err)
	assert.Equal(t, openai.BatchStatusCancelling, b.Status)
	require.Eventually(t, func() bool {
		b, err := c.Batches.Get(context.Background(), b.ID)
		return err == nil && b.Status == openai.BatchStatusCancelled
	}, time.Minute, 20*time.Millisecond)
	assert.Equal(t, 10, strings.Count(read(t, c, b.ErrorFileID), codeCancelled))
}

func TestRefusals(t *testing.T) {
	server, _, _ := newServer(t)
	c := newClient(server, "secret")
	unauthenticated := newClient(server, "wrong")
	_, err := unauthenticated.Batches.Get(context.Background(), "batch_1")
	assertStatus(t, err, http.StatusUnauthorized)
	_, err = c.Batches.Get(context.Background(), "batch_1")
	assertStatus(t, err, http.StatusNotFound)
	_, err = c.Files.New(context.Background(), openai.FileNewParams{
		File:    bytes.NewReader([]byte("x")),
		Purpose: openai.FilePurposeVision,
	})
	assertStatus(t, err, http.StatusBadRequest)
}

func TestLineErrors(t *testing.T) {
	good := line("r1", "scribe")
	for _, tc := range []struct {
		name, content, code string
		line                int
	}{
		{"not JSON", good + "\n{", "invalid_json_line", 2},
		{"no body", `{"custom_id":"r"}`, "invalid_body", 1},
		{"no custom_id", line("", "scribe"), "missing_custom_id", 1},
		{"duplicate", good + "\n\n" + good, "duplicate_custom_id", 3},
		{"method", strings.Replace(good, "POST", "GET", 1), "invalid_method", 1},
		{"url", strings.Replace(good, "chat", "chats", 1), "invalid_url", 1},
		{"no model", line("r", ""), "missing_model", 1},
		{"other model", good + "\n" + line("r2", "other"), "mismatched_model", 2},
		{"unknown model", line("r", "other"), "model_not_found", 1},
		{"stream", strings.Replace(good, `"messages":[]`, `"stream":true`, 1), "stream_not_supported", 1},
		{"long line", good + "\n" + strings.Repeat("x", maxLineBytes+1), "line_too_long", 2},
		{"empty", "\n", "empty_file", 1},
		{"too many", lines(51_001), "too_many_tasks", 51_001},
	} {
		t.Run(tc.name, func(t *testing.T) {
			serves := func(model string) bool { return model == "scribe" }
			_, err := parseInput(strings.NewReader(tc.content), "/v1/chat/completions", serves)
			var invalid *inputError
			require.ErrorAs(t, err, &invalid)
			assert.Equal(t, tc.code, invalid.lines[0].Code)
			assert.Equal(t, tc.line, invalid.lines[0].Line)
		})
	}
}

func FuzzParseInput(f *testing.F) {
	f.Add(line("r", "scribe"))
	f.Add("{\"custom_id\":1}\n\n[]")
	f.Fuzz(func(t *testing.T, content string) {
		p, err := parseInput(strings.NewReader(content), "/v1/chat/completions", func(string) bool { return true })
		if err == nil {
			require.NotEmpty(t, p.items)
		}
	})
}

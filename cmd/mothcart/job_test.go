package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	fakestore "mothcart/fake/store"
	"mothcart/io/caller/batches"
	"mothcart/io/job"
)

// TestJobCommands checks that submitting the same file again creates no second job, that an invalid line is
// reported by its number, that status waits for the end of the job, that results prints all answers, and that
// cancel refuses a job that has ended.
func TestJobCommands(t *testing.T) {
	opts := job.NewOptions("e1", fakestore.New(fakestore.NewOptions()).Client())
	opts.Tick = 10 * time.Millisecond
	opts.CancelGrace = 10 * time.Millisecond
	j, err := job.New(opts)
	require.NoError(t, err)
	t.Cleanup(j.Close)
	server := httptest.NewServer(batches.New(batches.Options{
		Jobs:         j,
		Authenticate: func(*http.Request) (batches.Caller, error) { return batches.Caller{Team: "t"}, nil },
	}))
	t.Cleanup(server.Close)
	withServer := func(args ...string) []string { return append(args, "-server", server.URL, "-key", "k") }
	write := func(name string, models ...string) string {
		var b strings.Builder
		for i, m := range models {
			fmt.Fprintf(&b, `{"custom_id":"r%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q}}`+"\n", i, m)
		}
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
		return path
	}
	good := write("good.jsonl", "m", "m")
	code, out, errOut := runCommand(withServer("job", "submit", good)...)
	require.Equal(t, exitOK, code, errOut)
	id := strings.TrimSpace(out)
	_, again, _ := runCommand(withServer("job", "submit", good)...)
	assert.Equal(t, out, again)
	code, _, errOut = runCommand(withServer("job", "submit", write("bad.jsonl", "m", ""))...)
	assert.Equal(t, exitFailure, code)
	assert.Contains(t, errOut, "line 2: model is missing")

	done := 0
	for done < 2 {
		for _, item := range j.Take("m", 2) {
			require.True(t, j.Start(item))
			j.Done(item, job.Result{Status: 200, Body: []byte(`{"ok":true}`)})
			done++
		}
		time.Sleep(time.Millisecond)
	}
	code, out, errOut = runCommand(withServer("job", "status", id, "-wait")...)
	assert.Equal(t, exitOK, code, errOut)
	assert.Contains(t, out, "completed: 2 of 2 answered, 0 failed")
	_, out, _ = runCommand(withServer("job", "results", id)...)
	assert.Equal(t, 2, strings.Count(out, `{"ok":true}`))
	code, _, errOut = runCommand(withServer("job", "cancel", id)...)
	assert.Equal(t, exitFailure, code)
	assert.Contains(t, errOut, "refused")
	code, out, _ = runCommand(withServer("job", "submit", good, "-jobKey", "second")...)
	require.Equal(t, exitOK, code)
	code, out, errOut = runCommand(withServer("job", "cancel", strings.TrimSpace(out))...)
	assert.Equal(t, exitOK, code, errOut)
	assert.Contains(t, out, "cancelling")
	code, _, _ = runCommand("job", "start")
	assert.Equal(t, exitUsage, code)
}

package job

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/config"
	"mothcart/core/job"
	fakestore "mothcart/fake/store"
)

// incompressible returns n characters that depend on seed.
func incompressible(seed string, n int) string {
	var b strings.Builder
	for b.Len() < n {
		sum := sha256.Sum256([]byte(seed + b.String()[max(0, b.Len()-40):]))
		b.WriteString(base64.StdEncoding.EncodeToString(sum[:]))
	}
	return b.String()[:n]
}

// TestLargeResultsAreStoredThenDeleted runs a job whose outcomes don't fit in their chunk's record, reads
// them while it runs, and checks that all its objects are deleted after its retention.
func TestLargeResultsAreStoredThenDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions())
		class := config.BatchClass{Name: "short", Window: time.Hour, MaxAttempts: 2, Retention: time.Hour}
		snapshot := config.NewSnapshot(1, config.Set{BatchClasses: []config.BatchClass{class}})
		f := newFleet(t, s)
		f.add("e1")
		f.start("e1", func(o Options) Options {
			return o.WithSnapshot(func() *config.Snapshot { return snapshot })
		})
		defer f.close()
		j := f.vms["e1"]
		f.dispatch("e1", 8, func(j *Jobs, item Item) {
			if !j.Start(item) {
				return
			}
			time.Sleep(5 * time.Second)
			answer := incompressible(item.CustomID, 20_000)
			if item.Index == 3 {
				answer = strings.Repeat("x", maxAnswerBytes+1)
			}
			j.Done(item, Result{Status: 200, Body: []byte(answer)})
		})
		submission := spec(300)
		submission.Class = "short"
		submission.Items[9].Body = []byte(incompressible("input", 200_000))
		status, err := j.Submit(t.Context(), submission)
		require.NoError(t, err)
		time.Sleep(90 * time.Second)
		running, err := j.Get(t.Context(), "team", status.Head.ID)
		require.NoError(t, err)
		require.Equal(t, job.Running, running.Head.State)
		assert.NotEmpty(t, outcomes(t, j, running))
		_, err = j.Get(t.Context(), "strangers", status.Head.ID)
		require.ErrorIs(t, err, ErrNotFound)
		end, list := finished(t, j, status.Head.ID, time.Hour)
		assert.Equal(t, job.Counts{Succeeded: 299, Failed: 1}, end.Counts)
		assert.Equal(t, incompressible("item-77", 20_000), string(list[77].Body))
		assert.Contains(t, list[3].Error, "largest size")
		time.Sleep(2 * time.Hour)
		_, err = j.Get(t.Context(), "team", status.Head.ID)
		require.ErrorIs(t, err, ErrNotFound)
		remaining, err := s.Client().List(t.Context(), "jobs/", "", 10)
		require.NoError(t, err)
		assert.Empty(t, remaining)
	})
}

// Guards against memory that grows without bound because results can't be written during an outage.
func TestPendingResultsAreBoundedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, concurrency = 800 << 10, 8
		s := fakestore.New(fakestore.NewOptions())
		f := newFleet(t, s, "e1")
		defer f.close()
		j := f.vms["e1"]
		f.dispatch("e1", concurrency, func(j *Jobs, item Item) {
			if j.Start(item) {
				time.Sleep(time.Second)
				j.Done(item, Result{Status: 200, Body: []byte(strings.Repeat(item.CustomID, size/len(item.CustomID)))})
			}
		})
		status, err := j.Submit(t.Context(), spec(200))
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		s.SetOutage(true)
		time.Sleep(time.Minute)
		j.mu.Lock()
		pending := j.pendingBytes
		j.mu.Unlock()
		assert.Greater(t, pending, maxPendingBytes)
		assert.LessOrEqual(t, pending, maxPendingBytes+concurrency*size)
		s.SetOutage(false)
		end, _ := finished(t, j, status.Head.ID, time.Hour)
		assert.Equal(t, job.Counts{Succeeded: 200}, end.Counts)
		assert.Zero(t, j.pendingBytes)
	})
}

// brokenReader returns an error at the end of its text.
type brokenReader struct{ text io.Reader }

func (r brokenReader) Read(p []byte) (int, error) {
	n, err := r.text.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrClosedPipe
	}
	return n, err
}

// Guards against changed content of files, access by other teams, and objects that remain after a deletion
// or an incomplete upload.
func TestFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions())
		f := newFleet(t, s, "e1")
		defer f.close()
		j := f.vms["e1"]
		content := incompressible("file", 1<<20) + strings.Repeat("roster\n", 1<<20)
		file, err := j.PutFile(t.Context(), "team", "in.jsonl", "batch", strings.NewReader(content))
		require.NoError(t, err)
		read, err := io.ReadAll(j.OpenFile(t.Context(), file))
		require.NoError(t, err)
		assert.True(t, content == string(read))
		_, err = j.PutFile(t.Context(), "team", "cut.jsonl", "batch", brokenReader{strings.NewReader(content)})
		require.Error(t, err)
		files, more, err := j.ListFiles(t.Context(), "team", "", 10)
		require.NoError(t, err)
		assert.False(t, more)
		require.Len(t, files, 1)
		_, err = j.GetFile(t.Context(), "strangers", file.ID)
		require.ErrorIs(t, err, ErrNotFound)
		require.NoError(t, j.DeleteFile(t.Context(), "team", file.ID))
		remaining, err := s.Client().List(t.Context(), "jobs/", "", 100)
		require.NoError(t, err)
		expiries := 0
		for _, o := range remaining {
			assert.NotContains(t, o.Key, file.ID)
			if strings.HasPrefix(o.Key, "jobs/e/") {
				expiries++
			}
		}
		assert.Equal(t, 1, expiries, "the incomplete upload still has its entry in the index of expiries")
	})
}

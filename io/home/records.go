package home

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
	"mothcart/io/object"
	"mothcart/io/store"
)

// Kinds of objects that the homes keep in the object service.
const (
	// KindLease holds one object that the home renews; nobody watches it.
	KindLease = "mothcart-lease"
	// KindHomes holds one object that names the home; every node watches it.
	KindHomes = "mothcart-homes"
	// KindJobs holds an object for each job; its status tells that the job was ended.
	KindJobs = "mothcart-jobs"
	// KindResults holds the chunks of results of all jobs.
	KindResults = "mothcart-results"
	// mainName names the only object of a kind.
	mainName = "main"
)

// jobStatus is the status of a job's object.
type jobStatus struct {
	Ended bool `json:"ended"`
}

// chunkName is the name of the chunk at a position; names sort by job and position.
func chunkName(job string, from int) string { return fmt.Sprintf("%s-%06d", job, from) }

// CreateJob writes a job. A job that exists already counts as written. Errors are those of
// object.CreateConfirmed without ErrConflict.
func CreateJob(ctx context.Context, c object.Client, job batch.Job) error {
	_, err := object.CreateConfirmed(ctx, c, KindJobs, job.ID, job)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// EndJob marks a job as ended. It returns store.ErrNotFound if there is no such job.
func EndJob(ctx context.Context, c object.Client, id string) error {
	_, err := c.PutStatus(ctx, KindJobs, id, jobStatus{Ended: true})
	return err
}

// LoadJob reads one job with its results from the object service.
func LoadJob(ctx context.Context, c object.Client, id string) (batch.Log, error) {
	o, err := c.Get(ctx, KindJobs, id)
	if err != nil {
		return batch.Log{}, merry.Errorf("read job %s: %w", id, err)
	}
	log, err := decodeJob(o)
	if err != nil {
		return batch.Log{}, err
	}
	return loadChunks(ctx, c, log)
}

// loadChunks appends all chunks that follow the results of a log.
func loadChunks(ctx context.Context, c object.Client, log batch.Log) (batch.Log, error) {
	id := log.Job().ID
	after := id + "-"
	if log.Len() > 0 {
		after = chunkName(id, log.Len()-1)
	}
	for {
		page, _, more, err := c.List(ctx, KindResults, after)
		if err != nil {
			return log, merry.Errorf("list results of job %s: %w", id, err)
		}
		for _, o := range page {
			if !strings.HasPrefix(o.Name, id+"-") {
				return log, nil
			}
			if log, err = withObject(log, o); err != nil {
				return log, err
			}
		}
		if !more || len(page) == 0 {
			return log, nil
		}
		after = page[len(page)-1].Name
	}
}

func decodeJob(o object.Object) (batch.Log, error) {
	var job batch.Job
	if err := json.Unmarshal(o.Spec, &job); err != nil {
		return batch.Log{}, merry.Errorf("decode job %s: %w", o.Name, err)
	}
	job.ID = o.Name
	log := batch.NewLog(job)
	if endedObject(o) {
		log = log.WithEnded()
	}
	return log, nil
}

// endedObject reports that the object of a job marks it as ended.
func endedObject(o object.Object) bool {
	var s jobStatus
	if len(o.Status) == 0 {
		return false
	}
	// A status that can't be read was not written by EndJob.
	return json.Unmarshal(o.Status, &s) == nil && s.Ended
}

func withObject(log batch.Log, o object.Object) (batch.Log, error) {
	var chunk batch.Chunk
	if err := json.Unmarshal(o.Spec, &chunk); err != nil {
		return log, merry.Errorf("decode results %s: %w", o.Name, err)
	}
	if chunk.From < log.Len() {
		return log, nil // known already
	}
	next, err := log.WithChunk(chunk)
	if err != nil {
		return log, merry.Errorf("results %s: %w", o.Name, err)
	}
	return next, nil
}

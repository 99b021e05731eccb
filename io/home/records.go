package home

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
	"mothcart/core/plainjson"
	"mothcart/io/object"
	"mothcart/io/store"
)

// Kinds of objects that homes and entry nodes store in the object service.
const (
	// KindLease holds one object that the home renews; no node watches it.
	KindLease = "mothcart-lease"
	// KindHomes holds one object that names the home; every node watches it.
	KindHomes = "mothcart-homes"
	// KindJobs holds an object for each job; its status reports whether the job was ended.
	KindJobs = "mothcart-jobs"
	// KindListed holds one object that names the jobs whose results are complete.
	KindListed = "mothcart-listed"
	// ResultsPrefix and the ID of a job make the kind that holds the chunks of its results, so that
	// they can be read without those of other jobs.
	ResultsPrefix = "mothcart-results-"
	// partsPrefix and the ID of a job make the kind that holds the items of a job that is too large
	// for one object.
	partsPrefix = "mothcart-parts-"
	// mainName is the name of the only object of KindLease and of KindHomes.
	mainName = "main"
)

// errUnreadable means that an object does not have the form that a home or an entry node writes, so that a
// retry can't help.
var errUnreadable = merry.Sentinel("object can't be read")

// errReplaced means that a home of a later term has loaded a job.
var errReplaced = merry.Sentinel("replaced by a later home")

// jobStatus is the status of a job's object.
type jobStatus struct {
	Ended bool `json:"ended"`
	End
	// Listed reports that every item has its result, so that no item has to run. Earlier versions wrote it; it is
	// now in KindListed.
	Listed bool `json:"listed,omitempty"`
}

func decodeStatus(o object.Object) jobStatus {
	var s jobStatus
	if len(o.Status) > 0 && json.Unmarshal(o.Status, &s) != nil {
		return jobStatus{} // not written by a home; the results show which items are open
	}
	s.Revision, s.Created = o.Revision, o.Created
	return s
}

func resultsKind(job string) string { return ResultsPrefix + job }

// chunkName is the name of the chunk with a number; names sort by number.
func chunkName(number int) string { return fmt.Sprintf("%06d", number) }

// chunksOf returns the objects whose names are those of chunks; others are not written by mothcart.
func chunksOf(objects []object.Object) []object.Object {
	return slices.DeleteFunc(objects, func(o object.Object) bool {
		number, err := strconv.Atoi(o.Name)
		return err != nil || number < 0 || o.Name != chunkName(number)
	})
}

// jobBytes bounds the items in one object by their estimated size, if an object may be that large.
const jobBytes = 700 << 10

// part is a group of items of a job that is too large for one object.
type part struct {
	Items []batch.Item `json:"items"`
	// Account is that of the job; empty if the deployment has none.
	Account string `json:"account,omitempty"`
}

// CreateJob writes a job. It writes the items of a large job first, so that a job never exists without all
// its items. A job of the same account that exists already counts as written. Errors are those of
// object.CreateConfirmed; ErrConflict means that another account has a job with this ID. A job that the object service can't
// store is not written in part.
func CreateJob(ctx context.Context, c object.Client, job batch.Job) error {
	job, parts, err := divide(job, c.SpecBytes())
	if err != nil {
		return err
	}
	for i, p := range parts {
		if err := createOwn(ctx, c, partsPrefix+job.ID, chunkName(i), job.Account, p); err != nil {
			return merry.Errorf("write part %d of job %s: %w", i, job.ID, err)
		}
	}
	return createOwn(ctx, c, KindJobs, job.ID, job.Account, job)
}

// divide returns a job and the parts that hold its items; there are none if the job holds them. All nodes divide a job in the same
// way, since parts that an earlier attempt has written count as written. Each object has at most limit bytes of JSON; the error is
// object.ErrRejected if that is impossible.
func divide(job batch.Job, limit int) (batch.Job, []part, error) {
	if len(job.Split(min(jobBytes, limit))) == 1 && plainjson.Size(job) <= limit {
		return job, nil, nil
	}
	head := job
	head.PartTokens = job.Tokens()
	head.Items = nil
	for bound := min(jobBytes, limit); bound > 0; bound /= 2 {
		groups, fits := job.Split(bound), true
		parts := make([]part, 0, len(groups))
		for _, items := range groups {
			p := part{Items: items, Account: job.Account}
			fits = fits && plainjson.Size(p) <= limit
			parts = append(parts, p)
		}
		head.Parts = len(parts)
		if fits && plainjson.Size(head) <= limit {
			return head, parts, nil
		}
		if fits || len(groups) == len(job.Items) {
			break // smaller groups are no help
		}
	}
	return job, nil, merry.Errorf("divide job %s into objects of %d bytes: %w: %w", job.ID, limit, store.ErrUnavailable, object.ErrRejected)
}

// createOwn writes an object of an account's job. One of the same account that exists counts as written.
func createOwn(ctx context.Context, c object.Client, kind, name, account string, spec any) error {
	o, err := object.CreateConfirmed(ctx, c, kind, name, spec)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	if owner, err := decodeOwner(o); err != nil || !owner.OwnedBy(account) {
		return merry.Errorf("%s/%s exists: %w", kind, name, store.ErrConflict)
	}
	return nil
}

// decodeOwner returns a job of which only the account is known.
func decodeOwner(o object.Object) (batch.Job, error) {
	var owner struct {
		Account string `json:"account"`
	}
	if err := json.Unmarshal(o.Spec, &owner); err != nil {
		return batch.Job{}, merry.Errorf("decode owner of job %s: %w: %w", o.Name, errUnreadable, err)
	}
	return batch.Job{ID: o.Name, Account: owner.Account}, nil
}

// loadParts returns a job with the items that are stored in other objects.
func loadParts(ctx context.Context, c object.Client, job batch.Job) (batch.Job, error) {
	if job.Parts == 0 {
		return job, nil
	}
	objects, _, err := object.ListAll(ctx, c, partsPrefix+job.ID)
	if err != nil {
		return job, merry.Errorf("list parts of job %s: %w", job.ID, err)
	}
	// Another job with this ID, which was refused, may have written more.
	objects = slices.DeleteFunc(chunksOf(objects), func(o object.Object) bool { return o.Name >= chunkName(job.Parts) })
	var items []batch.Item
	for _, o := range objects {
		var p part
		if err := json.Unmarshal(o.Spec, &p); err != nil {
			return job, merry.Errorf("decode part %s of job %s: %w: %w", o.Name, job.ID, errUnreadable, err)
		}
		items = append(items, p.Items...)
	}
	if len(objects) != job.Parts {
		return job, merry.Errorf("job %s has %d of %d parts", job.ID, len(objects), job.Parts)
	}
	return job.WithItems(items), nil
}

// EndJob marks a job of an account as ended and returns the end with its revision. The error is store.ErrNotFound if the
// account has no such job.
func EndJob(ctx context.Context, c object.Client, id, account string, end End) (End, error) {
	if account != "" {
		o, err := c.Get(ctx, KindJobs, id)
		if err != nil {
			return end, merry.Errorf("read job %s to end it: %w", id, err)
		}
		if owner, err := decodeOwner(o); err != nil || !owner.OwnedBy(account) {
			return end, merry.Errorf("job %s is not of the account that ends it: %w", id, store.ErrNotFound)
		}
	}
	o, err := c.PutStatus(ctx, KindJobs, id, jobStatus{Ended: true, End: end})
	end.Revision, end.Created = o.Revision, o.Created
	return end, err
}

// LoadJob reads one job with its results from the object service.
func LoadJob(ctx context.Context, c object.Client, id string) (batch.Log, error) {
	o, err := c.Get(ctx, KindJobs, id)
	if err != nil {
		return batch.Log{}, merry.Errorf("read job %s: %w", id, err)
	}
	log, err := decodeJob(ctx, c, o)
	if err != nil {
		return batch.Log{}, err
	}
	return LoadChunks(ctx, c, log)
}

// LoadChunks reads the chunks of a job's results and appends those that the log does not have.
func LoadChunks(ctx context.Context, c object.Client, log batch.Log) (batch.Log, error) {
	id := log.Job().ID
	chunks, _, err := object.ListAll(ctx, c, resultsKind(id))
	if err != nil {
		return log, merry.Errorf("list results of job %s: %w", id, err)
	}
	for _, o := range chunksOf(chunks) {
		if log, err = withObject(log, o); err != nil {
			return log, err
		}
	}
	return log, nil
}

func decodeJob(ctx context.Context, c object.Client, o object.Object) (batch.Log, error) {
	job, _, err := decodeWhole(o)
	if err != nil {
		return batch.Log{}, err
	}
	job, err = loadParts(ctx, c, job)
	if err != nil {
		return batch.Log{}, err
	}
	log := batch.NewLog(job)
	if decodeStatus(o).Ended {
		log = log.WithEnded()
	}
	return log, nil
}

// withObject returns the log with the chunk that an object holds.
func withObject(log batch.Log, o object.Object) (batch.Log, error) {
	var chunk batch.Chunk
	if err := json.Unmarshal(o.Spec, &chunk); err != nil {
		return log, merry.Errorf("decode results %s: %w: %w", o.Name, errUnreadable, err)
	}
	if o.Name < chunkName(log.Chunks()) {
		return log, nil // the log has the chunk already
	}
	next, err := log.WithChunk(chunk)
	if err != nil {
		return log, merry.Errorf("results %s: %w: %w", o.Name, errUnreadable, err)
	}
	return next, nil
}

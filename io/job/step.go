package job

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/job"
	"mothcart/io/store"
)

// checksPerStep bounds the chunk records that a home reads for one job in one tick.
const checksPerStep = 8

// uploadReadInterval is the time between two reads of a head whose upload is not finished.
const uploadReadInterval = 10 * time.Second

func shardName(n int) string { return fmt.Sprintf("%02x", n) }

// stepHome does the work that is due for one job: it reads records that are known only from a listing,
// closes the chunks of a cancelled job, and ends the job once all chunks are closed.
func (j *Jobs) stepHome(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !j.refreshHead(ctx, id) {
		return
	}
	j.checkChunks(ctx, id)
	hj, ok := j.homeSnapshot(id)
	if !ok {
		return
	}
	switch hj.head.State {
	case job.Uploading:
		j.abandonUpload(ctx, hj)
	case job.Running:
		if hj.table.Finished() {
			j.finish(ctx, hj)
		}
	case job.Cancelling:
		j.finishCancel(ctx, hj)
	default:
		j.clearOpen(ctx, hj.head)
	}
}

// homeSnapshot returns a copy of the home's state of a job; false if this VM is not its home.
func (j *Jobs) homeSnapshot(id string) (homeJob, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	hj := j.homes.jobs[id]
	if hj == nil {
		return homeJob{}, false
	}
	return *hj, true
}

// refreshHead reads the head again if it may have changed, and reports whether the home's copy is fresh.
func (j *Jobs) refreshHead(ctx context.Context, id string) bool {
	hj, ok := j.homeSnapshot(id)
	if !ok {
		return false
	}
	if !hj.stale && hj.head.State != job.Uploading {
		return true
	}
	if !hj.stale && time.Since(hj.readAt) < uploadReadInterval {
		return false
	}
	head, version, err := j.readHead(ctx, id)
	if err != nil {
		return false
	}
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	current := j.homes.jobs[id]
	if current == nil {
		return false
	}
	if version != current.version {
		current.uploadSeen = now
	}
	current.head, current.version, current.stale, current.readAt = head, version, false, now
	if current.table.Len() != len(head.Chunks) {
		current.table = job.NewTable(len(head.Chunks), j.opts.Lease)
	}
	if head.State == job.Cancelling && current.cancelSeen.IsZero() {
		current.cancelSeen = now
	}
	return true
}

// checkChunks reads some of the records that the home knows only from a listing.
func (j *Jobs) checkChunks(ctx context.Context, id string) {
	for range checksPerStep {
		hj, ok := j.homeSnapshot(id)
		if !ok {
			return
		}
		i, ok := hj.table.Unchecked()
		if !ok {
			return
		}
		o, c, err := j.readChunk(ctx, hj.head, i)
		if err != nil {
			return
		}
		j.recordReport(id, job.ReportOf(i, uint64(o.Version), c))
	}
}

func (j *Jobs) readChunk(ctx context.Context, head job.Head, i int) (store.Object, job.Chunk, error) {
	o, err := j.store.Get(ctx, chunkKey(head.ID, i))
	if err != nil {
		return o, job.Chunk{}, merry.Errorf("read chunk %d of %s: %w", i, head.ID, err)
	}
	c, err := decodeChunk(o.Value, head.Chunks[i].Items)
	if err != nil {
		return o, c, merry.Errorf("read chunk %d of %s: %w", i, head.ID, err)
	}
	return o, c, nil
}

// recordReport records a report about a chunk in the table of the job's home.
func (j *Jobs) recordReport(id string, r job.Report) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	hj := j.homes.jobs[id]
	if hj == nil {
		return
	}
	hj.table = hj.table.Reported(now, r)
	if hj.started.IsZero() {
		hj.started = now
	}
}

// finish writes the final state of a job whose chunks are all closed.
func (j *Jobs) finish(ctx context.Context, hj homeJob) {
	counts := hj.table.Counts()
	var unclaimed []int
	if hj.head.State == job.Cancelling {
		unclaimed = hj.table.Unclaimed()
		for _, i := range unclaimed {
			counts.Cancelled += hj.head.Chunks[i].Items
		}
	}
	head, ok := hj.head.Finish(time.Now(), counts, unclaimed)
	if !ok {
		j.opts.Log.Error().Str("job", hj.head.ID).Int("outcomes", counts.Total()).Msg("jobCountsWrong")
		return
	}
	if _, err := j.writeHead(ctx, head, hj.version); err != nil {
		j.markStale(hj.head.ID)
		return
	}
	j.opts.Log.Info().Str("job", head.ID).Str("state", head.State.String()).Msg("jobEnded")
	j.count("jobs.ended", 1)
	j.clearOpen(ctx, head)
}

func (j *Jobs) markStale(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if hj := j.homes.jobs[id]; hj != nil {
		hj.stale = true
	}
}

// clearOpen moves an ended job from the index of open jobs to that of expiries.
func (j *Jobs) clearOpen(ctx context.Context, head job.Head) {
	expiry := expiryKey(head.ID, head.Ended.Add(head.Retention))
	if head.State == job.Aborted {
		expiry = expiryKey(head.ID, head.Ended)
	}
	if err := j.createOnce(ctx, expiry, []byte(head.ID)); err != nil {
		j.markStale(head.ID)
		return
	}
	if err := j.remove(ctx, openKey(head.ID)); err != nil {
		j.markStale(head.ID)
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.homes.jobs, head.ID)
}

// remove deletes an object that is no longer written.
func (j *Jobs) remove(ctx context.Context, key string) error {
	o, err := j.store.Get(ctx, key)
	if err == nil {
		err = j.store.Delete(ctx, key, o.Version)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return merry.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// finishCancel closes the chunks of a cancelled job and ends the job. It waits for CancelGrace first, in
// which the holders can close their chunks.
func (j *Jobs) finishCancel(ctx context.Context, hj homeJob) {
	if time.Since(hj.cancelSeen) < j.opts.CancelGrace {
		j.notifyHolders(hj)
		return
	}
	table, err := j.listChunks(ctx, hj.head.ID, hj.table)
	if err != nil {
		return
	}
	for _, i := range table.Unclosed() {
		if err := j.closeChunk(ctx, hj.head, i); err != nil {
			return
		}
	}
	current, ok := j.homeSnapshot(hj.head.ID)
	if !ok {
		return
	}
	for _, i := range table.Unclosed() {
		if !current.table.Entry(i).Closed() {
			return
		}
	}
	if current.head.State == job.Cancelling && len(current.table.Unclosed()) == 0 {
		j.finish(ctx, current)
	}
}

// closeChunk closes one chunk of a cancelled job by a conditional write, after which its holder can't write
// the record any more.
func (j *Jobs) closeChunk(ctx context.Context, head job.Head, i int) error {
	o, c, err := j.readChunk(ctx, head, i)
	if err != nil {
		return err
	}
	version := o.Version
	if !c.Closed {
		c, _ = c.Cancel(j.writer, head.Terms)
		raw, err := encode(c)
		if err != nil {
			return err
		}
		version, err = store.PutConfirmed(ctx, j.store, chunkKey(head.ID, i), raw, o.Version)
		if err != nil {
			return merry.Errorf("close chunk %d of %s: %w", i, head.ID, err)
		}
	}
	j.recordReport(head.ID, job.ReportOf(i, uint64(version), c))
	return nil
}

func (j *Jobs) notifyHolders(hj homeJob) {
	for _, id := range j.opts.Members() {
		if hj.table.HeldBy(id) {
			notifyPeer(j.bus, id, methodCancelled, jobMessage{Job: hj.head.ID})
		}
	}
}

// abandonUpload aborts a submission that was never finished. The write is conditional, so that a
// submitter that resumes late can't accept the job any more.
func (j *Jobs) abandonUpload(ctx context.Context, hj homeJob) {
	if time.Since(hj.uploadSeen) < j.opts.UploadTimeout {
		return
	}
	head, err := hj.head.Abort(time.Now())
	if err != nil {
		return
	}
	if _, err := j.writeHead(ctx, head, hj.version); err != nil {
		j.markStale(head.ID)
		return
	}
	j.clearOpen(ctx, head)
}

package job

import (
	"context"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/job"
)

// Limits of the deletion of expired jobs.
const (
	// expiredPage is the largest number of expired jobs and files that one sweep of a shard deletes.
	expiredPage = 64
	// shardsPerSweep is the number of shards swept in one tick.
	shardsPerSweep = 1
)

// sweepShards deletes the jobs and files whose retention has expired, in a few shards at a time.
func (j *Jobs) sweepShards(ctx context.Context, now time.Time) {
	for _, shard := range j.shardsToSweep(now) {
		objects, err := j.store.List(ctx, expiryPrefix(shard), "", expiredPage)
		if err != nil {
			return
		}
		for _, o := range objects {
			id, unix := idOfIndex(o.Key)
			if time.Unix(unix, 0).After(now) {
				break
			}
			if err := j.deleteExpired(ctx, id, o.Key); err != nil {
				return
			}
		}
	}
}

func (j *Jobs) shardsToSweep(now time.Time) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var due []string
	for shard, at := range j.homes.sweepAt {
		if now.Before(at) || len(due) == shardsPerSweep {
			continue
		}
		j.homes.sweepAt[shard] = now.Add(j.opts.SweepEvery)
		due = append(due, shard)
	}
	return due
}

func (j *Jobs) deleteExpired(ctx context.Context, id, expiry string) error {
	if strings.HasPrefix(id, filePrefix) {
		return j.deleteExpiredFile(ctx, id, expiry)
	}
	return j.deleteJob(ctx, id, expiry)
}

// deleteJob deletes all objects of an ended job. Its entry in the index of expiries goes last, so that
// the next sweep resumes an interrupted deletion.
func (j *Jobs) deleteJob(ctx context.Context, id, expiry string) error {
	head, _, err := j.readHead(ctx, id)
	if err == nil {
		if !head.State.Terminal() {
			return nil
		}
		if err := j.deleteParts(ctx, head); err != nil {
			return err
		}
		j.count("jobs.expired", 1)
	} else if !isNotFound(err) {
		return err
	}
	return j.remove(ctx, expiry)
}

func (j *Jobs) deleteParts(ctx context.Context, head job.Head) error {
	for _, prefix := range []string{chunkPrefix(head.ID), segmentPrefix(head.ID), blockPrefix(head.ID)} {
		if err := j.deletePrefix(ctx, prefix); err != nil {
			return err
		}
	}
	for _, key := range []string{teamKey(head.Team, head.Created, head.ID), openKey(head.ID), headKey(head.ID)} {
		if err := j.remove(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

// deletePrefix deletes all objects with the prefix.
func (j *Jobs) deletePrefix(ctx context.Context, prefix string) error {
	objects, err := listAll(ctx, j.store, prefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		err := j.store.Delete(ctx, o.Key, o.Version)
		if err != nil && !isNotFound(err) {
			return merry.Errorf("delete %s: %w", o.Key, err)
		}
	}
	return nil
}

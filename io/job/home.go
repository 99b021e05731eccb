package job

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothcart/core/job"
	"mothcart/io/store"
)

// homeJob is this VM's state of a job that it is the home of.
type homeJob struct {
	head    job.Head
	version store.Version
	table   job.Table
	// started is the time of the first report of a claim to the home.
	started time.Time
	// stale reports that the head must be read again before the home uses it.
	stale bool
	// cancelSeen is the time at which the home learned of the cancellation.
	cancelSeen time.Time
	// uploadSeen is the time since which the home has read the same version of the head of an unfinished
	// upload.
	uploadSeen time.Time
	// readAt is the time of the last read of the head.
	readAt time.Time
}

// homeSet holds the shards and jobs that this VM is the home of.
type homeSet struct {
	// listAt and sweepAt hold the shards that this VM owns, with the times of the next listing of
	// open jobs and of expired ones.
	listAt  map[string]time.Time
	sweepAt map[string]time.Time
	jobs    map[string]*homeJob
	members []string
	// assignAt is the time at which shards are assigned again if the members have not changed.
	assignAt time.Time
	sent     map[string]sentSummary
}

func newHomeSet() homeSet {
	return homeSet{
		listAt:  map[string]time.Time{},
		sweepAt: map[string]time.Time{},
		jobs:    map[string]*homeJob{},
		sent:    map[string]sentSummary{},
	}
}

// candidates returns the jobs with open or held chunks, by model. Models of which a summary was sent
// before are present even without jobs, so that their broker gets an empty summary.
func (s homeSet) candidates(now time.Time, opts Options) map[string][]job.Candidate {
	byModel := map[string][]job.Candidate{}
	for model := range s.sent {
		byModel[model] = nil
	}
	for id, hj := range s.jobs {
		if hj.stale || hj.head.State != job.Running {
			continue
		}
		open, held := hj.table.Open(now)
		if open+held == 0 {
			continue
		}
		byModel[hj.head.Model] = append(byModel[hj.head.Model], job.Candidate{
			ID:       id,
			Team:     hj.head.Team,
			Home:     opts.Self,
			Deadline: hj.head.Deadline,
			Weight:   hj.head.Weight,
			Share:    shareOf(opts, hj.head),
			Open:     open,
			Held:     held,
		})
	}
	return byModel
}

// shareOf returns the team's share of the service that the job's model belongs to.
func shareOf(opts Options, head job.Head) float64 {
	snapshot := opts.Snapshot()
	service, ok := snapshot.ServiceOf(head.Model)
	if !ok {
		return 0
	}
	team, _ := snapshot.Team(head.Team)
	for _, s := range team.Shares {
		if s.Service == service.Name {
			return s.Share
		}
	}
	return 0
}

// tickHome does the periodic work for the jobs that this VM is the home of.
func (j *Jobs) tickHome(ctx context.Context) {
	now := time.Now()
	j.assignShards(now)
	j.announceUnacknowledged(ctx)
	j.sendSummaries(now)
	j.listShards(ctx, now)
	for _, id := range j.homeIDs() {
		j.stepHome(ctx, id)
	}
	j.sendSummaries(time.Now())
	j.sweepShards(ctx, now)
}

// assignInterval is the time between two assignments of shards while the list of members is unchanged:
// roles also move when a VM that is still listed starts to leave the cluster.
const assignInterval = 2 * time.Second

// relistSpread is the time over which the homes spread the listing of their shards after a VM was lost.
const relistSpread = 3 * time.Second

// assignShards updates the set of shards that this VM is the home of as the members change. A lost VM
// may have accepted a job without notifying its home, so all shards are listed again after a loss.
func (j *Jobs) assignShards(now time.Time) {
	members := j.opts.Members()
	j.mu.Lock()
	defer j.mu.Unlock()
	if now.Before(j.homes.assignAt) && slices.Equal(members, j.homes.members) {
		return
	}
	lost := lostMember(j.homes.members, members)
	j.homes.members = members
	j.homes.assignAt = now.Add(assignInterval)
	for n := range shardCount {
		shard := shardName(n)
		at, owned := j.homes.listAt[shard]
		switch {
		case j.opts.Owner(shardRole(shard)) != j.opts.Self:
			delete(j.homes.listAt, shard)
			delete(j.homes.sweepAt, shard)
		case !owned:
			j.homes.listAt[shard] = now
			j.homes.sweepAt[shard] = now.Add(j.opts.SweepEvery * time.Duration(n+1) / shardCount)
		case lost:
			soon := now.Add(relistSpread * time.Duration(n) / shardCount)
			j.homes.listAt[shard] = earlier(at, soon)
		}
	}
	for id := range j.homes.jobs {
		if _, owned := j.homes.listAt[shardOf(id)]; !owned {
			delete(j.homes.jobs, id)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func lostMember(before, now []string) bool {
	present := map[string]bool{}
	for _, id := range now {
		present[id] = true
	}
	for _, id := range before {
		if !present[id] {
			return true
		}
	}
	return false
}

// listShards lists the open jobs of the shards whose listing is due. This VM becomes the home of the
// listed jobs that it is not the home of yet.
func (j *Jobs) listShards(ctx context.Context, now time.Time) {
	for _, shard := range j.dueShards(now) {
		objects, err := listAll(ctx, j.store, openPrefix(shard))
		if err != nil {
			return
		}
		j.mu.Lock()
		if _, owned := j.homes.listAt[shard]; owned {
			j.homes.listAt[shard] = now.Add(j.opts.SweepEvery)
		}
		j.mu.Unlock()
		for _, o := range objects {
			id, _ := idOfIndex(o.Key)
			j.becomeHomeOf(ctx, id)
		}
	}
}

func (j *Jobs) dueShards(now time.Time) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var due []string
	for shard, at := range j.homes.listAt {
		if !now.Before(at) {
			due = append(due, shard)
		}
	}
	return due
}

// becomeHomeOf makes this VM the home of a job, unless it is already. It loads the job's head and the
// versions of all chunk records.
func (j *Jobs) becomeHomeOf(ctx context.Context, id string) {
	if j.isHomeOf(id) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, version, err := j.readHead(ctx, id)
	if err != nil {
		return
	}
	table, err := j.listChunks(ctx, id, job.NewTable(len(head.Chunks), j.opts.Lease))
	if err != nil {
		return
	}
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.homes.jobs[id] != nil {
		return
	}
	hj := &homeJob{head: head, version: version, table: table, uploadSeen: now, readAt: now}
	if head.State == job.Cancelling {
		hj.cancelSeen = now
	}
	if len(table.Unclaimed()) < table.Len() {
		// The time of the first claim is unknown. Counting from the submission gives a lower speed, so that
		// AtRisk reports too early rather than too late.
		hj.started = head.Created
	}
	j.homes.jobs[id] = hj
	j.opts.Log.Info().Str("job", id).Str("state", head.State.String()).Int("items", head.Items).Msg("jobTaken")
}

func (j *Jobs) isHomeOf(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.homes.jobs[id] != nil
}

func (j *Jobs) homeIDs() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	ids := make([]string, 0, len(j.homes.jobs))
	for id := range j.homes.jobs {
		ids = append(ids, id)
	}
	return ids
}

// listChunks records the versions of all chunk objects of a job in its table.
func (j *Jobs) listChunks(ctx context.Context, id string, table job.Table) (job.Table, error) {
	objects, err := listAll(ctx, j.store, chunkPrefix(id))
	if err != nil {
		return table, err
	}
	now := time.Now()
	for _, o := range objects {
		i, err := strconv.Atoi(strings.TrimPrefix(o.Key, chunkPrefix(id)))
		if err == nil && i < table.Len() {
			table = table.Listed(now, i, uint64(o.Version))
		}
	}
	return table, nil
}

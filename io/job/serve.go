package job

import (
	"context"
	"time"

	"mothcart/core/job"
)

// jobMessage names a job.
type jobMessage struct {
	Job string `msgpack:"j"`
}

// reportMessage tells a job's home about a chunk.
type reportMessage struct {
	Job    string     `msgpack:"j"`
	Report job.Report `msgpack:"r"`
}

// aliveMessage tells a job's home that the holder of a chunk is there and can't reach the store.
type aliveMessage struct {
	Job     string `msgpack:"j"`
	Chunk   int    `msgpack:"c"`
	Version uint64 `msgpack:"v"`
}

type offerRequest struct {
	Job string `msgpack:"j"`
}

// offerResponse is a chunk to claim and the version that the claim must expect.
type offerResponse struct {
	OK      bool   `msgpack:"o"`
	Chunk   int    `msgpack:"c"`
	Version uint64 `msgpack:"v"`
}

// progressResponse is what a job's home knows of its progress.
type progressResponse struct {
	Known   bool       `msgpack:"k"`
	Counts  job.Counts `msgpack:"n"`
	Held    int        `msgpack:"h"`
	Started time.Time  `msgpack:"s"`
}

// handle registers the handlers of the peer protocol.
func (j *Jobs) handle() {
	answer(j.bus, methodOpened, j.serveOpened)
	answer(j.bus, methodCancelled, j.serveCancelled)
	answer(j.bus, methodReport, j.serveReport)
	answer(j.bus, methodAlive, j.serveAlive)
	answer(j.bus, methodOffer, j.serveOffer)
	answer(j.bus, methodCandidates, j.serveCandidates)
	answer(j.bus, methodSummary, j.serveSummary)
	answer(j.bus, methodProgress, j.serveProgress)
}

// serveOpened hears of an accepted job. Adoption happens here, so that the answer means that the
// home knows the job.
func (j *Jobs) serveOpened(ctx context.Context, _ string, msg jobMessage) (nothing, error) {
	j.markStale(msg.Job)
	if j.opts.Owner(shardRole(shardOf(msg.Job))) != j.opts.Self {
		return nothing{}, nil
	}
	j.adopt(ctx, msg.Job)
	j.sendSummaries(time.Now())
	return nothing{}, nil
}

func (j *Jobs) serveCancelled(_ context.Context, _ string, msg jobMessage) (nothing, error) {
	j.markStale(msg.Job)
	j.stopJob(msg.Job)
	return nothing{}, nil
}

func (j *Jobs) serveReport(_ context.Context, _ string, msg reportMessage) (nothing, error) {
	j.enter(msg.Job, msg.Report)
	return nothing{}, nil
}

func (j *Jobs) serveAlive(_ context.Context, _ string, msg aliveMessage) (nothing, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if hj := j.homes.jobs[msg.Job]; hj != nil {
		hj.table = hj.table.Alive(time.Now(), msg.Chunk, msg.Version)
	}
	return nothing{}, nil
}

func (j *Jobs) serveOffer(_ context.Context, _ string, req offerRequest) (offerResponse, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	hj := j.homes.jobs[req.Job]
	if hj == nil || hj.stale || hj.head.State != job.Running {
		return offerResponse{}, nil
	}
	table, i, version, ok := hj.table.Offer(time.Now())
	hj.table = table
	return offerResponse{OK: ok, Chunk: i, Version: version}, nil
}

func (j *Jobs) serveProgress(_ context.Context, _ string, msg jobMessage) (progressResponse, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	hj := j.homes.jobs[msg.Job]
	if hj == nil {
		return progressResponse{}, nil
	}
	_, held := hj.table.Open(time.Now())
	return progressResponse{Known: true, Counts: hj.table.Counts(), Held: held, Started: hj.started}, nil
}

// report tells a job's home about a chunk, with best effort.
func (j *Jobs) report(id string, r job.Report) {
	tell(j.bus, j.homeOf(id), methodReport, reportMessage{Job: id, Report: r})
}

func (j *Jobs) homeOf(id string) string { return j.opts.Owner(shardRole(shardOf(id))) }

// announceTimeout bounds the wait for the home's word that it knows a new job.
const announceTimeout = time.Second

// announce tells the home about an accepted job, again at each tick until it answers. Should this VM
// be lost before, the homes list their shards and find the job.
func (j *Jobs) announce(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := ask[nothing](ctx, j.bus, j.homeOf(id), methodOpened, jobMessage{Job: id})
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.unheard, id)
	if err != nil {
		j.unheard[id] = true
	}
}

// announceUnheard tells homes about the jobs that they have not answered for.
func (j *Jobs) announceUnheard(ctx context.Context) {
	j.mu.Lock()
	ids := make([]string, 0, len(j.unheard))
	for id := range j.unheard {
		ids = append(ids, id)
	}
	j.mu.Unlock()
	for _, id := range ids {
		j.announce(ctx, id)
	}
}

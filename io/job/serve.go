package job

import (
	"context"
	"time"

	"mothcart/core/job"
)

// jobMessage identifies a job.
type jobMessage struct {
	Job string `msgpack:"j"`
}

// reportMessage reports the state of a chunk to the job's home.
type reportMessage struct {
	Job    string     `msgpack:"j"`
	Report job.Report `msgpack:"r"`
}

// aliveMessage notifies a job's home that the holder of a chunk is alive although its last write of the
// chunk's record failed.
type aliveMessage struct {
	Job     string `msgpack:"j"`
	Chunk   int    `msgpack:"c"`
	Version uint64 `msgpack:"v"`
}

type offerRequest struct {
	Job string `msgpack:"j"`
}

// offerResponse is a chunk to claim and the version of its record that the claim must expect. OK is false
// if the home has no chunk to offer.
type offerResponse struct {
	OK      bool   `msgpack:"o"`
	Chunk   int    `msgpack:"c"`
	Version uint64 `msgpack:"v"`
}

// progressResponse is a job's progress as its home knows it. Found is false if the VM is not the home.
type progressResponse struct {
	Found   bool       `msgpack:"k"`
	Counts  job.Counts `msgpack:"n"`
	Held    int        `msgpack:"h"`
	Started time.Time  `msgpack:"s"`
}

// registerHandlers registers the handlers of the peer protocol.
func (j *Jobs) registerHandlers() {
	registerHandler(j.bus, methodOpened, j.serveOpened)
	registerHandler(j.bus, methodCancelled, j.serveCancelled)
	registerHandler(j.bus, methodReport, j.serveReport)
	registerHandler(j.bus, methodAlive, j.serveAlive)
	registerHandler(j.bus, methodOffer, j.serveOffer)
	registerHandler(j.bus, methodCandidates, j.serveCandidates)
	registerHandler(j.bus, methodSummary, j.serveSummary)
	registerHandler(j.bus, methodProgress, j.serveProgress)
}

// serveOpened handles the announcement of an accepted job. It loads the job before it answers, so that
// the submitter doesn't consider the job announced before its home has tried to load it.
func (j *Jobs) serveOpened(ctx context.Context, _ string, msg jobMessage) (empty, error) {
	j.markStale(msg.Job)
	if j.opts.Owner(shardRole(shardOf(msg.Job))) != j.opts.Self {
		return empty{}, nil
	}
	j.becomeHomeOf(ctx, msg.Job)
	j.sendSummaries(time.Now())
	return empty{}, nil
}

func (j *Jobs) serveCancelled(_ context.Context, _ string, msg jobMessage) (empty, error) {
	j.markStale(msg.Job)
	j.stopJob(msg.Job)
	return empty{}, nil
}

func (j *Jobs) serveReport(_ context.Context, _ string, msg reportMessage) (empty, error) {
	j.recordReport(msg.Job, msg.Report)
	return empty{}, nil
}

func (j *Jobs) serveAlive(_ context.Context, _ string, msg aliveMessage) (empty, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if hj := j.homes.jobs[msg.Job]; hj != nil {
		hj.table = hj.table.Alive(time.Now(), msg.Chunk, msg.Version)
	}
	return empty{}, nil
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
	return progressResponse{Found: true, Counts: hj.table.Counts(), Held: held, Started: hj.started}, nil
}

// report sends the state of a chunk to the job's home, with best effort.
func (j *Jobs) report(id string, r job.Report) {
	notifyPeer(j.bus, j.homeOf(id), methodReport, reportMessage{Job: id, Report: r})
}

func (j *Jobs) homeOf(id string) string { return j.opts.Owner(shardRole(shardOf(id))) }

// announceTimeout bounds the wait for the home's answer to an announcement.
const announceTimeout = time.Second

// announce notifies the home of an accepted job. The announcement is repeated at each tick until the
// home answers. If this VM is lost before, the homes list their shards and find the job.
func (j *Jobs) announce(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := callPeer[empty](ctx, j.bus, j.homeOf(id), methodOpened, jobMessage{Job: id})
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.unacknowledged, id)
	if err != nil {
		j.unacknowledged[id] = true
	}
}

// announceUnacknowledged repeats the announcements that the homes have not answered.
func (j *Jobs) announceUnacknowledged(ctx context.Context) {
	j.mu.Lock()
	ids := make([]string, 0, len(j.unacknowledged))
	for id := range j.unacknowledged {
		ids = append(ids, id)
	}
	j.mu.Unlock()
	for _, id := range ids {
		j.announce(ctx, id)
	}
}

package job

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/job"
	"mothcart/core/outcome"
	"mothcart/io/store"
)

// Times and limits of the claiming of chunks.
const (
	// fillPeriod is the longest time between two checks whether a model needs more chunks.
	fillPeriod = 250 * time.Millisecond
	// emptyRetryDelay is the pause for a model after no chunk could be claimed.
	emptyRetryDelay = 500 * time.Millisecond
	// demandTTL is the time after the last Take during which chunks of the model are claimed in advance.
	demandTTL = 5 * time.Second
	// maxHeldBytes is the total size of the held items' bodies at which no further chunk is claimed.
	maxHeldBytes = 24 << 20
	// peerCallTimeout bounds a call to another VM.
	peerCallTimeout = 2 * time.Second
)

// unconfirmedClaim is a claim of a chunk that must be confirmed by a read before its items are dispatched.
// since is the time just before the claim was written.
type unconfirmedClaim struct {
	head  job.Head
	chunk int
	fence uint64
	since time.Time
}

// fillLoop claims chunks for the models that Take is called for.
func (j *Jobs) fillLoop() {
	t := time.NewTicker(fillPeriod)
	defer t.Stop()
	for {
		select {
		case <-j.done:
			return
		case <-j.wake:
		case <-t.C:
		}
		for _, model := range j.modelsToRefill(time.Now()) {
			if !j.acquire(j.ctx, model) {
				j.mu.Lock()
				j.demands[model].retryAt = time.Now().Add(emptyRetryDelay)
				j.mu.Unlock()
			}
		}
	}
}

// modelsToRefill returns the models with fewer ready items than Take is likely to ask for.
func (j *Jobs) modelsToRefill(now time.Time) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.heldChunks.count()+len(j.unconfirmed) >= j.opts.MaxHeldChunks || j.heldChunks.inputBytes() >= maxHeldBytes {
		return nil
	}
	var models []string
	for model, d := range j.demands {
		if now.Sub(d.at) > demandTTL {
			delete(j.demands, model)
			continue
		}
		if j.heldChunks.ready(model) < d.target() && !now.Before(d.retryAt) {
			models = append(models, model)
		}
	}
	return models
}

// acquire claims one chunk for the model and reports whether it did.
func (j *Jobs) acquire(ctx context.Context, model string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	j.mu.Lock()
	prefer := j.demands[model].lastJob
	j.mu.Unlock()
	for _, c := range j.requestCandidates(ctx, model, prefer) {
		offer, err := j.requestOffer(ctx, c.Home, c.ID)
		if err != nil || !offer.OK {
			continue
		}
		claimed, err := j.claimChunk(ctx, c.ID, offer)
		if err != nil {
			j.opts.Log.Debug().Str("job", c.ID).Int("chunk", offer.Chunk).Err(err).Msg("chunkNotClaimed")
			return false
		}
		if claimed {
			j.mu.Lock()
			if d := j.demands[model]; d != nil {
				d.lastJob = c.ID
			}
			j.mu.Unlock()
			j.wakeFill()
			return true
		}
	}
	return false
}

func (j *Jobs) requestCandidates(ctx context.Context, model, prefer string) []job.Candidate {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	req := candidatesRequest{Model: model, Prefer: prefer}
	resp, err := callPeer[candidatesResponse](ctx, j.bus, j.opts.Owner(brokerRole(model)), methodCandidates, req)
	if err != nil {
		return nil
	}
	return resp.Candidates
}

func (j *Jobs) requestOffer(ctx context.Context, home, id string) (offerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return callPeer[offerResponse](ctx, j.bus, home, methodOffer, offerRequest{Job: id})
}

// claimChunk claims an offered chunk. It reports true also while the claim is still to be confirmed.
func (j *Jobs) claimChunk(ctx context.Context, id string, offer offerResponse) (bool, error) {
	head, err := j.cachedHead(ctx, id)
	if err != nil {
		return false, err
	}
	if offer.Chunk >= len(head.Chunks) {
		return false, merry.Errorf("chunk %d of %d: %w", offer.Chunk, len(head.Chunks), ErrCorrupt)
	}
	record, current := job.NewChunk(head.Chunks[offer.Chunk].Items), true
	if offer.Version != 0 {
		record, current, err = j.readOffered(ctx, head, offer)
	}
	if err != nil || !current {
		return false, err
	}
	inputs, err := j.loadInputs(ctx, head, offer.Chunk)
	if err != nil {
		return false, err
	}
	next, _, err := job.Claim(record, j.writer, head.Terms)
	if err != nil {
		return false, err
	}
	since := time.Now()
	raw, err := encode(next)
	if err != nil {
		return false, err
	}
	version, err := store.PutConfirmed(ctx, j.store, chunkKey(id, offer.Chunk), raw, store.Version(offer.Version))
	c := unconfirmedClaim{head: head, chunk: offer.Chunk, fence: next.Fence, since: since}
	switch {
	case err == nil:
		return true, j.addClaimed(ctx, c, next, version, inputs)
	case store.Changed(err):
		_, _, err = j.readOffered(ctx, head, offer)
		return false, err
	case store.OutcomeOf(err) == outcome.Unknown:
		j.postpone(c)
		return true, nil
	default:
		return false, err
	}
}

// readOffered returns the record of an offered chunk. If the record is closed or not at the version that
// the home offered, readOffered reports its state to the home and returns false.
func (j *Jobs) readOffered(ctx context.Context, head job.Head, offer offerResponse) (job.Chunk, bool, error) {
	o, c, err := j.readChunk(ctx, head, offer.Chunk)
	if err != nil {
		return c, false, err
	}
	if uint64(o.Version) == offer.Version && !c.Closed {
		return c, true, nil
	}
	j.report(head.ID, job.ReportOf(offer.Chunk, uint64(o.Version), c))
	return c, false, nil
}

// addClaimed adds a claimed chunk to the held chunks. It reads the job's state after the claim, so that no
// item is dispatched if the job's cancellation was accepted before that read, or if this VM was told of it since.
func (j *Jobs) addClaimed(ctx context.Context, c unconfirmedClaim, record job.Chunk, version store.Version, inputs []input) error {
	head, _, err := j.readHead(ctx, c.head.ID)
	if err != nil {
		j.postpone(c)
		return nil
	}
	j.report(head.ID, job.ReportOf(c.chunk, uint64(version), record))
	if record.Closed {
		return nil
	}
	h := &heldChunk{
		head:     head,
		index:    c.chunk,
		first:    firstItemOf(head, c.chunk),
		fence:    record.Fence,
		inputs:   inputs,
		state:    job.NewHeldChunk(record, head.Terms, j.opts.Lease, c.since),
		version:  version,
		pending:  map[int]Outcome{},
		lastTake: time.Now(),
	}
	for _, in := range inputs {
		h.inputBytes += len(in.Body)
	}
	h.ctx, h.cancel = context.WithCancel(j.ctx)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.heads.put(head)
	j.heldChunks.add(h)
	if _, cancelled := j.cancelled[head.ID]; cancelled || head.State != job.Running {
		j.stop(time.Now(), h)
	}
	return nil
}

// postpone queues a claim to be confirmed at the next tick.
func (j *Jobs) postpone(c unconfirmedClaim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unconfirmed = append(j.unconfirmed, c)
}

// confirmClaim reads a chunk whose claim may have taken effect, because the answer of the write was lost,
// or whose job could not be read after the claim. It adds the chunk if this VM has the claim. While the
// read of the chunk fails, it is repeated at each tick until the claim's lease has expired.
func (j *Jobs) confirmClaim(ctx context.Context, c unconfirmedClaim) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := j.store.Get(ctx, chunkKey(c.head.ID, c.chunk))
	if err != nil {
		if time.Since(c.since) < j.opts.Lease {
			j.postpone(c)
		}
		return
	}
	record, err := decodeChunk(o.Value, c.head.Chunks[c.chunk].Items)
	if err != nil || record.Owner != j.writer || record.Fence != c.fence {
		return
	}
	inputs, err := j.loadInputs(ctx, c.head, c.chunk)
	if err != nil {
		j.postpone(c)
		return
	}
	_ = j.addClaimed(ctx, c, record, o.Version, inputs)
}

func firstItemOf(head job.Head, chunk int) int {
	first := 0
	for _, ref := range head.Chunks[:chunk] {
		first += ref.Items
	}
	return first
}

func (j *Jobs) cachedHead(ctx context.Context, id string) (job.Head, error) {
	j.mu.Lock()
	head, ok := j.heads.byID[id]
	j.mu.Unlock()
	if ok {
		return head, nil
	}
	head, _, err := j.readHead(ctx, id)
	if err != nil {
		return head, err
	}
	j.mu.Lock()
	j.heads.put(head)
	j.mu.Unlock()
	return head, nil
}

// loadInputs reads the items of a chunk.
func (j *Jobs) loadInputs(ctx context.Context, head job.Head, chunk int) ([]input, error) {
	ref := head.Chunks[chunk]
	b, err := j.loadBlock(ctx, head.Blocks[ref.Block])
	if err != nil {
		return nil, err
	}
	if ref.At >= len(b.Chunks) {
		return nil, merry.Errorf("place %d in block of %d: %w", ref.At, len(b.Chunks), ErrCorrupt)
	}
	var inputs []input
	if err := j.codec.unpack(b.Chunks[ref.At], &inputs); err != nil {
		return nil, err
	}
	if len(inputs) != ref.Items {
		return nil, merry.Errorf("%d inputs for %d items: %w", len(inputs), ref.Items, ErrCorrupt)
	}
	return inputs, nil
}

// loadBlock reads a block of input. The last blocks are cached, since a VM claims a job's chunks in sequence.
func (j *Jobs) loadBlock(ctx context.Context, key string) (block, error) {
	j.mu.Lock()
	b, ok := j.blocks.get(key)
	j.mu.Unlock()
	if ok {
		return b, nil
	}
	o, err := j.store.Get(ctx, key)
	if err != nil {
		return block{}, merry.Errorf("read input: %w", err)
	}
	if err := decode(o.Value, &b); err != nil {
		return block{}, merry.Errorf("read input %s: %w", key, err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.blocks = j.blocks.with(key, b)
	return b, nil
}

// blockCache holds the blocks of input that were read last, the newest first.
type blockCache []cachedBlock

type cachedBlock struct {
	key   string
	block block
}

// blockCacheSize is the number of blocks in the cache; a block is smaller than 1 MB.
const blockCacheSize = 4

func (c blockCache) get(key string) (block, bool) {
	for _, e := range c {
		if e.key == key {
			return e.block, true
		}
	}
	return block{}, false
}

func (c blockCache) with(key string, b block) blockCache {
	next := blockCache{{key: key, block: b}}
	return append(next, c[:min(len(c), blockCacheSize-1)]...)
}

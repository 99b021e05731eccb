package job

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"mothcart/core/config"
	"mothcart/core/job"
	"mothcart/core/outcome"
	"mothcart/io/store"
)

// Terms of a job without a batch class.
const (
	defaultWindow      = 24 * time.Hour
	defaultMaxAttempts = 3
	defaultRetention   = 7 * 24 * time.Hour
)

// Limits of one submission.
const (
	// maxChunkBytes is the largest uncompressed input of a chunk of several items.
	maxChunkBytes = 8 << 20
	// maxItemBytes is the largest compressed size of a chunk's input, and so of one item. It also bounds the
	// blocks of input and of files, and the pieces of outcomes.
	maxItemBytes = 900 << 10
	// uploadConcurrency is the number of blocks written at once.
	uploadConcurrency = 4
	// submitAttempts bounds the attempts of a submission or cancellation that conflicts with other writes
	// of the job's head.
	submitAttempts = 5
)

// ItemSpec is one item of a submission.
type ItemSpec struct {
	CustomID string
	// Body is the request body that the upstream gets.
	Body []byte
}

// Spec is a job to submit.
type Spec struct {
	Team, Account string
	// Key identifies the job within the team; if it is empty, the hash of the content does.
	Key string
	// Class names a batch class of the configuration; if it is empty, the defaults apply.
	Class    string
	Model    string
	Endpoint string
	// Window is the caller's completion window, such as 24h. It sets the deadline of a job without a
	// class.
	Window    string
	InputFile string
	Metadata  map[string]string
	// NonIdempotent items are dispatched at most once.
	NonIdempotent bool
	Items         []ItemSpec
}

// Submit accepts a job. It returns after the acceptance is durable. Repeating the submission on any
// VM returns the same job. Errors: ErrInvalid, ErrKeyReused, ErrUnavailable, ErrOutcomeUnknown.
func (j *Jobs) Submit(ctx context.Context, spec Spec) (Status, error) {
	now := time.Now()
	head, err := j.newHead(now, spec)
	if err != nil {
		return Status{}, err
	}
	chunks, err := j.packChunks(spec.Items)
	if err != nil {
		return Status{}, err
	}
	head, blocks, err := j.packBlocks(head, chunks)
	if err != nil {
		return Status{}, err
	}
	so := outcome.NotDone
	for range submitAttempts {
		accepted, err := j.tryAccept(ctx, now, head, blocks)
		if err == nil {
			if !accepted.State.Terminal() {
				j.announce(ctx, accepted.ID)
			}
			return j.status(ctx, accepted), nil
		}
		if !store.Changed(err) {
			return Status{}, merry.Errorf("submit job %s: %w", head.ID, afterAttempts(so, storeError(err)))
		}
		so = so.With(store.OutcomeOf(err)) // another submission of the same job has written the head meanwhile
	}
	return Status{}, merry.Errorf("submit job %s: %w", head.ID, ErrOutcomeUnknown)
}

// newHead builds the head of a submission in state Uploading.
func (j *Jobs) newHead(now time.Time, spec Spec) (job.Head, error) {
	switch {
	case len(spec.Items) == 0:
		return job.Head{}, merry.Errorf("no items: %w", ErrInvalid)
	case len(spec.Items) > job.MaxItems:
		return job.Head{}, merry.Errorf("%d items are over %d: %w", len(spec.Items), job.MaxItems, ErrInvalid)
	case spec.Model == "" || spec.Team == "":
		return job.Head{}, merry.Errorf("no model or team: %w", ErrInvalid)
	}
	class, err := j.class(spec)
	if err != nil {
		return job.Head{}, err
	}
	content := contentOf(spec)
	return job.Head{
		ID:        "batch_" + hashOf(spec.Team, spec.Key, keyContent(spec, content))[:32],
		Team:      spec.Team,
		Account:   spec.Account,
		Class:     class.Name,
		Model:     spec.Model,
		Endpoint:  spec.Endpoint,
		Metadata:  spec.Metadata,
		Window:    spec.Window,
		InputFile: spec.InputFile,
		Content:   content,
		Created:   now,
		Deadline:  now.Add(class.Window),
		Retention: class.Retention,
		Weight:    class.Weight,
		Terms:     job.Terms{MaxAttempts: class.MaxAttempts, Idempotent: !spec.NonIdempotent},
		Items:     len(spec.Items),
		State:     job.Uploading,
	}, nil
}

// keyContent returns the content's part of the job's ID: none if the client named a key.
func keyContent(spec Spec, content string) string {
	if spec.Key != "" {
		return ""
	}
	return content
}

// contentOf returns the hash of the items and of the settings with which they run.
func contentOf(spec Spec) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q %t\n", spec.Model, spec.Endpoint, spec.Class, spec.NonIdempotent)
	for _, item := range spec.Items {
		fmt.Fprintf(h, "%q %d\n", item.CustomID, len(item.Body))
		h.Write(item.Body)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (j *Jobs) class(spec Spec) (config.BatchClass, error) {
	class := config.BatchClass{}
	if spec.Class != "" {
		c, ok := j.opts.Snapshot().BatchClass(spec.Class)
		if !ok || (c.Team != "" && c.Team != spec.Team) {
			return c, merry.Errorf("batch class %q is unknown: %w", spec.Class, ErrInvalid)
		}
		class = c
	}
	if window, err := time.ParseDuration(spec.Window); err == nil && spec.Class == "" {
		class.Window = max(window, 0)
	}
	class.Window = cmp.Or(class.Window, defaultWindow)
	class.MaxAttempts = cmp.Or(class.MaxAttempts, defaultMaxAttempts)
	class.Retention = cmp.Or(class.Retention, defaultRetention)
	class.Weight = cmp.Or(class.Weight, 1)
	return class, nil
}

// packedChunk is the compressed input of one chunk.
type packedChunk struct {
	items int
	data  []byte
}

// packChunks compresses the items in chunks, halving a chunk that grows too large for a block.
func (j *Jobs) packChunks(items []ItemSpec) ([]packedChunk, error) {
	var chunks []packedChunk
	for len(items) > 0 {
		n, size := 0, 0
		for n < min(len(items), job.ChunkItems) && (n == 0 || size+len(items[n].Body) <= maxChunkBytes) {
			size += len(items[n].Body)
			n++
		}
		for {
			data, err := j.packInputs(items[:n])
			if err != nil {
				return nil, err
			}
			if len(data) <= maxItemBytes {
				chunks = append(chunks, packedChunk{items: n, data: data})
				break
			}
			if n == 1 {
				return nil, merry.Errorf("item %q is over %d bytes: %w", items[0].CustomID, maxItemBytes, ErrInvalid)
			}
			n /= 2
		}
		items = items[n:]
	}
	return chunks, nil
}

func (j *Jobs) packInputs(items []ItemSpec) ([]byte, error) {
	inputs := make([]input, 0, len(items))
	for _, item := range items {
		inputs = append(inputs, input(item))
	}
	return j.codec.pack(inputs)
}

// packBlocks groups chunks in blocks below the largest object size and records their positions in the
// head.
func (j *Jobs) packBlocks(head job.Head, chunks []packedChunk) (job.Head, [][]byte, error) {
	var blocks [][]byte
	var current block
	size := 0
	flush := func() error {
		if len(current.Chunks) == 0 {
			return nil
		}
		raw, err := encode(current)
		if err != nil {
			return err
		}
		head.Blocks = append(head.Blocks, blockKey(head.ID, head.Content, len(blocks)))
		blocks = append(blocks, raw)
		current, size = block{}, 0
		return nil
	}
	for _, c := range chunks {
		if size+len(c.data) > maxItemBytes {
			if err := flush(); err != nil {
				return head, nil, err
			}
		}
		head.Chunks = append(head.Chunks, job.ChunkRef{Items: c.items, Block: len(blocks), At: len(current.Chunks)})
		current.Chunks = append(current.Chunks, c.data)
		size += len(c.data)
	}
	err := flush()
	return head, blocks, err
}

// tryAccept uploads the job and accepts it.
func (j *Jobs) tryAccept(ctx context.Context, now time.Time, head job.Head, blocks [][]byte) (job.Head, error) {
	head, version, accepted, err := j.startUpload(ctx, head)
	if err != nil || accepted {
		return head, err
	}
	if err := j.createOnce(ctx, teamKey(head.Team, head.Created, head.ID), []byte(head.ID)); err != nil {
		return head, err
	}
	if err := j.upload(ctx, head, blocks); err != nil {
		return head, err
	}
	head, err = head.Accept(now)
	if err != nil {
		return head, err
	}
	if _, err := j.writeHead(ctx, head, version); err != nil {
		return head, merry.Errorf("accept: %w", err)
	}
	return head, nil
}

// startUpload creates the head, or continues the upload of an earlier submission. It reports whether the
// job was accepted before.
func (j *Jobs) startUpload(ctx context.Context, head job.Head) (job.Head, store.Version, bool, error) {
	existing, version, err := j.readHead(ctx, head.ID)
	switch {
	case errors.Is(err, store.ErrNotFound):
		if err := j.createOnce(ctx, openKey(head.ID), []byte(head.ID)); err != nil {
			return head, 0, false, err
		}
		version, err = j.writeHead(ctx, head, store.Absent)
		return head, version, false, err
	case err != nil:
		return head, 0, false, err
	case existing.Content != head.Content:
		return head, 0, false, merry.Errorf("job %s: %w", head.ID, ErrKeyReused)
	case existing.State == job.Aborted:
		return head, 0, false, merry.Errorf("job %s is being cleared away: %w", head.ID, ErrUnavailable)
	case existing.State != job.Uploading:
		return existing, version, true, nil
	}
	// This write changes the version, so that the earlier submission can't accept the job any more.
	version, err = j.writeHead(ctx, existing, version)
	return existing, version, false, err
}

// createOnce creates an object unless it exists; its value must depend on its key alone.
func (j *Jobs) createOnce(ctx context.Context, key string, value []byte) error {
	_, err := store.PutConfirmed(ctx, j.store, key, value, store.Absent)
	if err != nil && !store.Changed(err) {
		return merry.Errorf("create %s: %w", key, err)
	}
	return nil
}

func (j *Jobs) upload(ctx context.Context, head job.Head, blocks [][]byte) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(uploadConcurrency)
	for n, data := range blocks {
		g.Go(func() error { return j.createOnce(ctx, head.Blocks[n], data) })
	}
	if err := g.Wait(); err != nil {
		return merry.Errorf("upload input: %w", err)
	}
	return nil
}

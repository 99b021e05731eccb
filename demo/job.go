package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	corejob "mothcart/core/job"
	"mothcart/fake/engine"
	"mothcart/fake/fleet"
	"mothcart/io/job"
	"mothcart/load"
)

const (
	// batchTokens is the length of a batch answer in tokens.
	batchTokens = 32
	// watchInterval is the interval of the progress lines.
	watchInterval = 2 * time.Second
)

// batchJob is the job of the demo.
type batchJob struct {
	fleet *fleet.Fleet
	id    string
	items int
	spec  job.Spec
}

func itemPrompt(i int) string {
	if i%failingItemEvery == failingItemEvery-1 {
		return fmt.Sprintf("%s Roster line %d", failingItemMark, i)
	}
	return fmt.Sprintf("Roster line %d: who arranges the altar flowers in week %d?", i, i%52)
}

// submitJob submits the job, then submits it again to another VM like a caller that got no answer. Both must
// give the same job.
func submitJob(ctx context.Context, f *fleet.Fleet, opts Options) (*batchJob, error) {
	b := &batchJob{fleet: f, items: opts.items()}
	b.spec = job.Spec{Team: fleet.BatchTeam, Account: "roster", Key: fmt.Sprintf("roster-%d", opts.Seed), Class: "night", Model: fleet.Model, Endpoint: "/v1/chat/completions"}
	for i := range b.items {
		body, err := load.ChatBody(fleet.Model, itemPrompt(i), batchTokens, false)
		if err != nil {
			return nil, merry.Errorf("item %d: %w", i, err)
		}
		b.spec.Items = append(b.spec.Items, job.ItemSpec{CustomID: fmt.Sprintf("line%d", i), Body: body})
	}
	first, err := f.Server(0).Jobs().Submit(ctx, b.spec)
	if err != nil {
		return nil, merry.Errorf("first: %w", err)
	}
	second, err := f.Server(1%opts.VMs).Jobs().Submit(ctx, b.spec)
	if err != nil {
		return nil, merry.Errorf("resend: %w", err)
	}
	if first.Head.ID != second.Head.ID {
		return nil, merry.Errorf("resend created another job: %s and %s", first.Head.ID, second.Head.ID)
	}
	b.id = first.Head.ID
	return b, nil
}

// status returns the status of the job as a live VM reports it.
func (b *batchJob) status(ctx context.Context) (job.Status, error) {
	servers := b.fleet.Servers()
	return servers[len(servers)-1].Jobs().Get(ctx, fleet.BatchTeam, b.id)
}

// done returns the number of items for which the live VMs have an answer, whether or not it is recorded yet.
func (b *batchJob) done() int {
	n := 0
	for _, s := range b.fleet.Servers() {
		n += s.BatchItemsDone()
	}
	return n
}

func decided(c corejob.Counts) int { return c.Succeeded + c.Failed + c.Unknown }

// watch prints the progress until the returned function is called.
func (b *batchJob) watch(ctx context.Context, w io.Writer) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for load.Wait(ctx, watchInterval) {
			if s, err := b.status(ctx); err == nil {
				fmt.Fprintf(w, "batch: %d of %d items have an outcome\n", decided(s.Counts), b.items)
			}
		}
	}()
	return cancel
}

// outcome is the final state of the job with the counts of its results. lost, duplicated and wrong count items
// without a result, with several results, and with an answer other than the engine's.
type outcome struct {
	state      string
	succeeded  int
	failed     int
	unknown    int
	lost       int
	duplicated int
	wrong      int
}

// finish waits for the end of the job and counts its results.
func (b *batchJob) finish(ctx context.Context) outcome {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	o := outcome{state: "unfinished"}
	for {
		s, err := b.status(ctx)
		if err == nil && s.Head.State.Terminal() {
			o.state = s.Head.State.String()
			break
		}
		if !load.Wait(ctx, 100*time.Millisecond) {
			break
		}
	}
	seen := map[string]int{}
	servers := b.fleet.Servers()
	err := servers[0].Jobs().Results(context.WithoutCancel(ctx), fleet.BatchTeam, b.id, func(r job.Outcome) bool {
		seen[r.CustomID]++
		o.count(r)
		return true
	})
	if err != nil {
		o.state = "results unreadable: " + err.Error()
	}
	for i := range b.items {
		switch n := seen[fmt.Sprintf("line%d", i)]; {
		case n == 0:
			o.lost++
		case n > 1:
			o.duplicated++
		}
	}
	return o
}

func (o *outcome) count(r job.Outcome) {
	switch r.State {
	case corejob.Succeeded:
		o.succeeded++
		if !rightAnswer(r) {
			o.wrong++
		}
	case corejob.Failed:
		o.failed++
	default:
		o.unknown++
	}
}

// rightAnswer reports whether an item's answer is the one that the engine gives for its prompt.
func rightAnswer(r job.Outcome) bool {
	var i int
	if _, err := fmt.Sscanf(r.CustomID, "line%d", &i); err != nil {
		return false
	}
	return answerText(r.Body) == engine.Answer(fleet.Model, engine.ChatPrompt("user", itemPrompt(i)), batchTokens)
}

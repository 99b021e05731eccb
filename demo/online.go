package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mothcart/fake/engine"
	"mothcart/fake/fleet"
	"mothcart/load"
)

const (
	// onlineRate is the mean rate of online requests per second outside bursts.
	onlineRate = 20
	// burstEvery is the interval of the bursts, burstSize the number of requests in each.
	burstEvery = 1500 * time.Millisecond
	burstSize  = 12
	// answerTokens is the length of an online answer in tokens.
	answerTokens = 24
	// onlineAttempts is the maximum number of times that a caller sends one request.
	onlineAttempts = 6
	// resendPause is the time between two attempts.
	resendPause = 150 * time.Millisecond
)

// online sends streaming requests like interactive callers, and checks each answer.
type online struct {
	fleet    *fleet.Fleet
	rng      *rand.Rand
	client   *load.Client
	recorder *load.Recorder

	mu      sync.Mutex
	lost    int
	wrong   int
	retries int
}

func newOnline(f *fleet.Fleet, seed uint64) *online {
	return &online{
		fleet: f, rng: rand.New(rand.NewPCG(seed, seed)),
		client: load.NewClient(fleet.OnlineKey, fleet.Model), recorder: load.NewRecorder(time.Now()),
	}
}

// play sends requests for the duration, and waits for their answers.
func (o *online) play(ctx context.Context, d time.Duration) {
	defer o.client.Close()
	var all sync.WaitGroup
	n := 0
	arrival := load.Arrival{Rate: onlineRate, BurstEvery: burstEvery, BurstSize: burstSize}
	load.Arrivals(ctx, o.rng, arrival, time.Now().Add(d), func(due time.Time) {
		n++
		o.recorder.Sent()
		all.Go(func() { o.request(ctx, n, due) })
	})
	all.Wait()
}

// request sends one request until it gets a complete answer or all attempts are used up, to the next VM at
// each attempt.
func (o *online) request(ctx context.Context, n int, due time.Time) {
	prompt := fmt.Sprintf("Who is on for Sunday %d at the parish of Bole, and who stands in?", n)
	want := engine.Answer(fleet.Model, engine.ChatPrompt("user", prompt), answerTokens)
	for attempt := range onlineAttempts {
		servers := o.fleet.Servers()
		url := "http://" + servers[(n+attempt)%len(servers)].CallerAddress()
		got, err := o.client.Chat(ctx, load.Request{URL: url, Prompt: prompt, Tokens: answerTokens, Stream: true, Due: due}, o.recorder)
		if err == nil {
			o.recorder.Ended(time.Now(), due, nil)
			o.tally(&o.wrong, got != want)
			return
		}
		o.tally(&o.retries, true)
		if !load.Wait(ctx, resendPause) {
			break
		}
	}
	o.tally(&o.lost, true)
}

func (o *online) tally(count *int, add bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if add {
		*count++
	}
}

// result returns the measurements of the phase.
func (o *online) result() Online {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.recorder.Result(time.Now())
	return Online{
		Sent: r.Sent, Complete: r.Whole, Lost: o.lost, Wrong: o.wrong, Resent: o.retries,
		FirstToken: r.FirstToken, InterToken: r.InterToken,
	}
}

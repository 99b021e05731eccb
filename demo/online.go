package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothcart/fake/engine"
	"mothcart/fake/fleet"
)

const (
	// onlineRate is the number of online requests a second outside bursts.
	onlineRate = 20
	// burstEvery and burstSize make a burst of requests at once.
	burstEvery = 1500 * time.Millisecond
	burstSize  = 12
	// answerTokens is the length of an online answer.
	answerTokens = 24
	// resends bounds how often a caller sends a request again that failed.
	resends = 6
	// resendPause is the time before a caller sends again.
	resendPause = 150 * time.Millisecond
	// maxMicros is the longest latency that the histograms hold, in microseconds.
	maxMicros = int64(60 * time.Second / time.Microsecond)
)

// online sends streams as callers at phones do, and checks each answer.
type online struct {
	fleet *fleet.Fleet
	rng   *rand.Rand
	http  *http.Client

	mu      sync.Mutex
	sent    int
	whole   int
	lost    int
	wrong   int
	retries int
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

func newOnline(f *fleet.Fleet, seed uint64) *online {
	return &online{
		fleet: f, rng: rand.New(rand.NewPCG(seed, seed)),
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		first:   hdrhistogram.New(1, maxMicros, 3),
		between: hdrhistogram.New(1, maxMicros, 3),
	}
}

// play sends requests for the duration, and waits for their answers.
func (o *online) play(ctx context.Context, d time.Duration) {
	var all sync.WaitGroup
	send := func(due time.Time) {
		o.mu.Lock()
		o.sent++
		n := o.sent
		o.mu.Unlock()
		all.Go(func() { o.request(ctx, n, due) })
	}
	end := time.Now().Add(d)
	nextBurst := time.Now().Add(burstEvery)
	for due := time.Now(); due.Before(end); {
		due = due.Add(time.Duration(o.rng.ExpFloat64() / onlineRate * float64(time.Second)))
		if !wait(ctx, time.Until(due)) {
			break
		}
		send(due)
		if due.After(nextBurst) {
			nextBurst = nextBurst.Add(burstEvery)
			for range burstSize {
				send(due)
			}
		}
	}
	all.Wait()
	o.http.CloseIdleConnections()
}

// request sends one request, again on another VM when its VM is lost, until it has its answer.
func (o *online) request(ctx context.Context, n int, due time.Time) {
	prompt := fmt.Sprintf("Who is on for Sunday %d at the parish of Bole, and who stands in?", n)
	want := engine.Answer(fleet.Model, engine.ChatPrompt("user", prompt), answerTokens)
	for attempt := range resends {
		servers := o.fleet.Servers()
		got, err := o.stream(ctx, servers[(n+attempt)%len(servers)].CallerAddress(), prompt, due)
		if err == nil {
			o.mu.Lock()
			o.whole++
			if got != want {
				o.wrong++
			}
			o.mu.Unlock()
			return
		}
		o.mu.Lock()
		o.retries++
		o.mu.Unlock()
		if !wait(ctx, resendPause) {
			break
		}
	}
	o.mu.Lock()
	o.lost++
	o.mu.Unlock()
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChunk struct {
	Choices []struct {
		Delta chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func chatBody(prompt string, tokens int, stream bool) []byte {
	body, err := json.Marshal(chatRequest{Model: fleet.Model, MaxTokens: tokens, Stream: stream, Messages: []chatMessage{{Role: "user", Content: prompt}}})
	if err != nil {
		return nil
	}
	return body
}

// stream reads one answer and records its times. A stream without [DONE] is an error.
func (o *online) stream(ctx context.Context, address, prompt string, due time.Time) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(chatBody(prompt, answerTokens, true)))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+fleet.OnlineKey)
	resp, err := o.http.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d", resp.StatusCode)
	}
	return o.read(resp.Body, due)
}

func (o *online) read(body io.Reader, due time.Time) (string, error) {
	var text strings.Builder
	var last time.Time
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", err
		}
		if c.Error != nil {
			return "", fmt.Errorf("stream: %s", c.Error.Message)
		}
		now := time.Now()
		o.record(now, last, due)
		last = now
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return "", io.ErrUnexpectedEOF
}

func (o *online) record(now, last, due time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if last.IsZero() {
		_ = o.first.RecordValue(max(1, now.Sub(due).Microseconds()))
		return
	}
	_ = o.between.RecordValue(max(1, now.Sub(last).Microseconds()))
}

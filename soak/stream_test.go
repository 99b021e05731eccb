package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/assert"

	"mothcart/platform/fake"
)

const (
	// patience is how long a caller tries to begin or to take up a stream.
	patience = 3 * time.Second
	// retryPause is the time between two tries.
	retryPause = 50 * time.Millisecond
)

// stream is what a caller received of one stream.
type stream struct {
	// events has the ID of the request that brought each event.
	events  []string
	takeUps []takeUp
}

// takeUp is one continuation of a stream, from its break to its next event or to the end of the caller's patience.
type takeUp struct {
	from, to time.Time
	wentOn   bool
}

// streamCaller reads streams, one after the other. If the connection breaks, it takes the stream up at another entry.
type streamCaller struct {
	c    *checker
	rng  *rand.Rand
	name string
	// entry is the one of the last request, requests is their number.
	entry, requests int
}

// readAll reads streams until stop is closed.
func (sc *streamCaller) readAll(stop <-chan struct{}) []*stream {
	var streams []*stream
	for {
		select {
		case <-stop:
			return streams
		default:
		}
		st := &stream{}
		streams = append(streams, st)
		sc.goOn(st)
		for n := len(st.events); n > 0 && n < eventsPerStream; n = len(st.events) {
			from := time.Now()
			to := sc.goOn(st)
			st.takeUps = append(st.takeUps, takeUp{from: from, to: to, wentOn: len(st.events) > n})
			if len(st.events) == n {
				break
			}
		}
	}
}

// goOn tries to read more of a stream until a request brings an event. It returns the time of that event, or that at
// which the caller gave up.
func (sc *streamCaller) goOn(st *stream) time.Time {
	for begin := time.Now(); time.Since(begin) < patience; time.Sleep(retryPause) {
		if at := sc.try(st, patience-time.Since(begin)); !at.IsZero() {
			return at
		}
	}
	return time.Now()
}

// try sends one request at another entry than before, reads its answer to the end, and returns the time of its first
// event; zero if there is none within the limit.
func (sc *streamCaller) try(st *stream, limit time.Duration) time.Time {
	t := sc.c.s.t
	sc.entry = 1 + (sc.entry+sc.rng.IntN(entries-1))%entries
	sc.requests++
	id := fmt.Sprintf("%s.%d", sc.name, sc.requests)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	giveUp := time.AfterFunc(limit, cancel)
	defer giveUp.Stop()
	r := sc.c.request(http.MethodPost, sc.entry, "/ask/stream/1", id, nil).WithContext(ctx)
	if len(st.events) > 0 {
		fake.TakeUp(r.Header, len(st.events), st.events[0])
	}
	resp, err := client.Do(r)
	if err != nil {
		return time.Time{}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return time.Time{}
	}
	var first time.Time
	texts := strings.Split(fake.CompleteText(id, eventsPerStream), "\n")
	err = fake.EachEvent(resp.Body, func(n int, data string) {
		giveUp.Stop()
		if first.IsZero() {
			first = time.Now()
		}
		if assert.Equal(t, len(st.events)+1, n, "the next event of %s", id) && assert.LessOrEqual(t, n, eventsPerStream) {
			assert.Equal(t, texts[n-1], data)
		}
		st.events = append(st.events, id)
	})
	if err == nil {
		assert.Len(t, st.events, eventsPerStream, "%s ended as complete", id)
	}
	return first
}

package soak

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

var endlessCallers = flag.Int("callers", 72, "callers of an entry whose upstreams send without end")

const (
	// faultyEngines send bytes without end in each of their faultySlots.
	faultyEngines = 9
	faultySlots   = 40
	// endlessJobs have itemsOfEndless items each, so that items could use all of these slots.
	endlessJobs    = 2
	itemsOfEndless = 180
	endlessTime    = 6 * time.Second
	// endlessPace is the time between two events of a kilobyte that seem to belong to a stream.
	endlessPace = 10 * time.Millisecond
	// smallEntryMB and smallHomeMB are the least memory of an entry and of a home node on the sites of the platform, in MB.
	smallEntryMB = 112
	smallHomeMB  = 154
)

// endlessFault is an answer that never ends.
type endlessFault struct{ name, head, text string }

// numbered reports that the answer is a stream of events that each seem to belong to it.
func (f endlessFault) numbered() bool { return f.text == "" }

func endlessFaults() []endlessFault {
	const stream = "Content-Type: text/event-stream\r\n\r\n"
	return []endlessFault{
		{"header lines", "", "X: y\r\n"},
		{"one event", stream + "data: ", "x"},
		{"events", stream, "data: " + strings.Repeat("x", 1000) + "\n\n"},
		{"numbered events", stream, ""},
		{"a body", "\r\n", "x"},
	}
}

// write writes the answer until the other side closes the connection.
func (f endlessFault) write(w io.Writer, id string) {
	if _, err := io.WriteString(w, fake.RawHead(id)+f.head); err != nil {
		return
	}
	block := strings.Repeat(f.text, 1+(16<<10)/max(len(f.text), 1))
	for n := 1; ; n++ {
		if f.numbered() {
			time.Sleep(endlessPace) // a text that grows for seconds is kept the longest
			block = fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("<", 1000))
		}
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}

// TestEndlessAnswersEndNoProcess lets all slots of nine engines answer without end. It guards against processes that run out of
// memory, or serve nobody else meanwhile.
func TestEndlessAnswersEndNoProcess(t *testing.T) {
	program := build(t)
	for i, f := range endlessFaults() {
		t.Run(f.name, func(t *testing.T) {
			onSite(t, program, uint64(150+i), func(c *checker, _ uint64) { c.endless(f) })
		})
	}
}

func (c *checker) endless(f endlessFault) {
	s, t := c.s, c.s.t
	for n := range faultyEngines {
		for g, service := range []string{"scribe", "desk"} {
			fake.NewRaw(s.network, fake.EngineOptions{
				ID: fmt.Sprintf("%s-%d", service, n), Service: service, Address: s.ip(6+g, 1+n) + ":7200", Zone: "z1", Slots: faultySlots, Born: 1, Objects: s.objects,
			}, f.write)
		}
	}
	for j := range endlessJobs {
		id := fmt.Sprintf("endless%d", j)
		resp, _, err := c.call(http.MethodPost, 1, "/lot/1", id, fake.JobBody(id, itemsOfEndless, []byte("draft")))
		require.NoError(t, err)
		require.Equal(t, http.StatusAccepted, resp.StatusCode)
	}
	if f.numbered() { // sound engines would complete the items, whose long texts the home keeps until their retention ends
		s.setEngines("draining")
	}
	var callers sync.WaitGroup
	var served, asked atomic.Int64
	end := time.Now().Add(endlessTime)
	for n := range *endlessCallers {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				resp, _, err := c.call(http.MethodPost, 1, []string{"/ask/stream/1", "/fetch/1"}[n%2], fmt.Sprintf("e%d.%d", n, i), []byte("hello"))
				asked.Add(1)
				if err != nil || resp.StatusCode != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				served.Add(1)
			}
		})
	}
	callers.Wait()
	for _, pr := range s.processes {
		limit := map[string]int{"entry": smallEntryMB, "home": smallHomeMB}[pr.role]
		peak := pr.peakMB(t)
		t.Logf("%s: peak %d MB of %d", pr.id, peak, limit)
		assert.LessOrEqual(t, peak, limit, "memory of %s in MB", pr.id)
	}
	t.Logf("%d of %d served", served.Load(), asked.Load())
	assert.Positive(t, served.Load())
	s.setEngines("ready")
	for j := range endlessJobs {
		if !f.numbered() { // events that an upstream made up are part of the texts
			c.awaitJob(job{id: fmt.Sprintf("endless%d", j), items: itemsOfEndless})
		}
	}
}

func (s *site) setEngines(state string) {
	for _, e := range s.engines {
		e.SetState(state)
	}
}

// peakMB returns the most memory that a process has had, in MB.
func (pr *process) peakMB(t *testing.T) int {
	pr.mu.Lock()
	path := fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid)
	pr.mu.Unlock()
	f, err := os.Open(path)
	require.NoError(t, err, "the process has ended")
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(t, err)
			return kilobytes >> 10
		}
	}
	require.Fail(t, "no peak of memory", path)
	return 0
}

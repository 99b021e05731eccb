package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// TestSignalsInADrain checks that a SIGHUP or a second SIGTERM during a drain does not cut off the stream in
// progress.
func TestSignalsInADrain(t *testing.T) {
	program := build(t)
	for i, tc := range []struct {
		name  string
		later syscall.Signal
	}{
		{"settings change", syscall.SIGHUP},
		{"second stop request", syscall.SIGTERM},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t, program, uint64(190+i))
			defer s.close()
			require.Eventually(t, func() bool { return s.ready(1) }, 20*time.Second, 100*time.Millisecond, "the site starts")
			c := &checker{s: s}
			for _, e := range s.engines {
				e.SetPace(100 * time.Millisecond) // the stream lasts 2 s
			}
			streamDone := make(chan struct{})
			go func() {
				defer close(streamDone)
				resp, body, err := c.call(http.MethodPost, 1, "/once/stream/1", "s", nil)
				if assert.NoError(t, err, "the stream is complete") {
					assert.Equal(t, http.StatusOK, resp.StatusCode)
					assert.Equal(t, fake.CompleteText("s", eventsPerStream), fake.TextOf(body))
				}
			}()
			require.Eventually(t, func() bool { return s.runCount("s") == 1 }, 5*time.Second, 10*time.Millisecond, "the stream runs")
			s.processes[0].signal(syscall.SIGTERM)
			require.Eventually(t, func() bool { return !s.ready(1) }, 5*time.Second, 10*time.Millisecond, "the entry drains")
			s.processes[0].signal(tc.later)
			<-streamDone
		})
	}
}

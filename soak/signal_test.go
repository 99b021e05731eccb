package soak

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// Signals that come while a process drains end nothing sooner.
func TestSignalsInADrain(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mothcart")
	out, err := exec.Command("go", "build", "-o", program, "mothcart/cmd/mothcart").CombinedOutput()
	require.NoError(t, err, string(out))
	for i, tc := range []struct {
		name  string
		later syscall.Signal
	}{
		{"settings change", syscall.SIGHUP},
		{"asked to stop again", syscall.SIGTERM},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t, program, uint64(190+i))
			defer s.close()
			require.Eventually(t, func() bool { return s.ready(1) }, 20*time.Second, 100*time.Millisecond, "the site starts")
			c := &checker{s: s}
			for _, e := range s.engines {
				e.SetPace(100 * time.Millisecond) // the stream lasts 2 s
			}
			whole := make(chan struct{})
			go func() {
				defer close(whole)
				resp, body, err := c.call(http.MethodPost, 1, "/once/stream/1", "s", nil)
				if assert.NoError(t, err, "the stream is whole") {
					assert.Equal(t, http.StatusOK, resp.StatusCode)
					assert.Equal(t, fake.WholeText("s", eventsOfStream), fake.TextOf(body))
				}
			}()
			require.Eventually(t, func() bool { return s.runsOf("s") == 1 }, 5*time.Second, 10*time.Millisecond, "the stream runs")
			s.processes[0].signal(syscall.SIGTERM)
			require.Eventually(t, func() bool { return !s.ready(1) }, 5*time.Second, 10*time.Millisecond, "the entry drains")
			s.processes[0].signal(tc.later)
			<-whole
		})
	}
}

package serve_test

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/fake/store"
	"mothcart/fake/vmlist"
	"mothcart/io/logs"
	"mothcart/io/serve"
	"mothcart/io/settings"
)

// One signal starts a drain that runs to its end; a second signal ends the drain early and logs drainCut.
func TestSignals(t *testing.T) {
	// The test registers for the signal too, so that a signal outside Run doesn't end the test process.
	own := make(chan os.Signal, 4)
	signal.Notify(own, syscall.SIGTERM)
	defer signal.Stop(own)
	for _, tc := range []struct {
		name, lag, want string
		signals         int
	}{
		{"one", "20ms", "\"message\":\"drainDone\"", 1},
		{"two", "1h", "\"message\":\"drainCut\"", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg, err := settings.Parse("test", []byte("[vm]\nid = v1\n[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n"+
				"[platform]\nstore = http://127.0.0.1:1\nvmList = http://127.0.0.1:1\n[limits]\ndrainLag = "+tc.lag+"\n"))
			require.NoError(t, err)
			var out bytes.Buffer
			log, flush, err := logs.New(&out, "info", logs.QueuedLines, func(int) {})
			require.NoError(t, err)
			s, err := serve.New(serve.NewOptions(cfg, log).WithPlatform(store.New(store.NewOptions()).Client(), vmlist.New().Client("v1")))
			require.NoError(t, err)
			ended := make(chan error, 1)
			go func() { ended <- s.Run(context.Background()) }()
			for range tc.signals {
				time.Sleep(100 * time.Millisecond)
				require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			}
			select {
			case err := <-ended:
				require.NoError(t, err)
			case <-time.After(waitTimeout):
				t.Fatal("the process did not end")
			}
			flush()
			assert.Contains(t, out.String(), tc.want)
		})
	}
}

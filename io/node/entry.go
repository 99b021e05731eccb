package node

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/site"
	"mothcart/io/clock"
	"mothcart/io/entry"
	"mothcart/io/forward"
	"mothcart/platform"
)

const (
	// leaveTime is how long a node that is to stop still takes requests, so that the balancer has
	// noticed before the port closes: it asks once a second and acts on the second answer.
	leaveTime = 2500 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which what is left is cut.
	exitMargin = 500 * time.Millisecond
	// activePoll is the time between two looks for requests in progress.
	activePoll = 50 * time.Millisecond
)

// RunEntry serves callers until SIGTERM or the end of the context, and then drains.
func RunEntry(ctx context.Context, opts Options) error {
	quietKratos()
	if opts.Settings.CallerAddress == "" {
		return merry.New("settings: no address for callers on this VM")
	}
	b := newBase(opts)
	defer b.close()
	var askID atomic.Uint64
	forwarder := forward.New(forward.Options{
		Client: b.upstream, Wire: platform.Wire(), Acquire: b.client.Acquire,
		NextID: func() uint64 { return askID.Add(1) }, Now: clock.Now,
		AvailabilityZone: opts.Settings.AvailabilityZone, Log: opts.Log, Registry: opts.Registry,
	})
	handler := entry.New(entry.Options{
		Codec: platform.Codec(), Forward: forwarder, Home: b.client, Objects: b.objects, MaxJobBytes: opts.Settings.ValueBytes,
		Now: clock.Now, TimeOfDay: time.Now, Log: opts.Log, Registry: opts.Registry,
	})
	b.onConfig = handler.SetConfig
	b.onUpstreams = func([]site.Upstream) {}
	var draining atomic.Bool
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if draining.Load() || !b.known() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	callers, err := serveHTTP(ctx, opts.Settings.CallerAddress, handler, opts.Log)
	if err != nil {
		return err
	}
	defer callers.Close()
	readiness, err := serveHTTP(ctx, opts.Settings.ReadyAddress, ready, opts.Log)
	if err != nil {
		return err
	}
	defer readiness.Close()
	b.follow(b.verifyWithoutHome)
	opts.Log.Info().Str("vm", opts.Settings.VMID).Str("callers", opts.Settings.CallerAddress).Int64("incarnation", b.incarnation).Msg("entryStarted")
	awaitStop(ctx, opts)
	stopped := clock.Now()
	draining.Store(true)
	handler.Drain()
	opts.Log.Info().Int64("active", handler.Active()).Msg("drainStarted")
	end := stopped.Add(opts.Settings.Grace - exitMargin)
	time.Sleep(leaveTime)
	shutdown, cancel := context.WithTimeout(context.Background(), end.Sub(clock.Now()))
	defer cancel()
	err = callers.Server.Shutdown(shutdown)
	opts.Log.Info().Int64("active", handler.Active()).AnErr("error", err).Msg("entryStopped")
	return nil
}

// awaitStop waits for SIGTERM or the end of the context; SIGHUP reads the settings again.
func awaitStop(ctx context.Context, opts Options) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				opts.Log.Info().Str("signal", s.String()).Msg("stopAsked")
				return
			}
			reload(opts)
		}
	}
}

// reload reads the settings file again and reports what is in it; addresses hold for the life of the
// process.
func reload(opts Options) {
	s, err := platform.ReadSettings(opts.SettingsPath)
	if err != nil {
		opts.Log.Error().Err(err).Msg("settingsNotReloaded")
		return
	}
	opts.Log.Info().Str("vm", s.VMID).Bool("changed", s != opts.Settings).Msg("settingsReloaded")
}

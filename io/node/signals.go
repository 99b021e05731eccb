package node

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"sync"
	"syscall"
	"time"

	"mothcart/platform"
)

// settingsInterval is the polling interval of the settings file.
const settingsInterval = 2 * time.Second

// signalWatch handles the signals of a process from its start to its end. It also does so while the
// process drains, since an unhandled signal would end the process at once. The settings are reloaded on
// SIGHUP and when their file has changed.
type signalWatch struct {
	opts    Options
	signals chan os.Signal
	// stop is closed by the first SIGTERM or SIGINT.
	stop chan struct{}
	end  chan struct{}
	done sync.WaitGroup
}

// watchSignals starts to handle signals.
func watchSignals(opts Options) *signalWatch {
	w := &signalWatch{opts: opts, signals: make(chan os.Signal, 4), stop: make(chan struct{}), end: make(chan struct{})}
	signal.Notify(w.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	w.done.Go(w.run)
	return w
}

// AwaitStop waits until the process is asked to stop or the context ends.
func (w *signalWatch) AwaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.stop:
	}
}

// Close restores the default handling of signals.
func (w *signalWatch) Close() {
	signal.Stop(w.signals)
	close(w.end)
	w.done.Wait()
}

func (w *signalWatch) run() {
	changes := time.NewTicker(settingsInterval)
	defer changes.Stop()
	modified := modTime(w.opts.SettingsPath)
	stopping := false
	for {
		select {
		case <-w.end:
			return
		case <-changes.C:
			if at := modTime(w.opts.SettingsPath); !at.Equal(modified) {
				modified = at
				reload(w.opts)
			}
		case s := <-w.signals:
			if s == syscall.SIGHUP {
				reload(w.opts)
				continue
			}
			w.opts.Log.Info().Str("signal", s.String()).Bool("again", stopping).Msg("stopAsked")
			if !stopping {
				stopping = true
				close(w.stop)
			}
		}
	}
}

// modTime returns when a file was last modified, or the zero time if that can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file again and logs the result. Only the list of home nodes is applied; other
// settings, such as the process's own addresses, stay until a restart.
func reload(opts Options) {
	s, err := platform.ReadSettings(opts.SettingsPath)
	if err != nil {
		opts.Log.Error().Err(err).Msg("settingsNotReloaded")
		return
	}
	opts.reloaded.Store(&s)
	opts.Log.Info().Str("vm", s.VMID).Strs("homeNodes", s.HomeNodes).Bool("changed", !reflect.DeepEqual(s, opts.Settings)).Msg("settingsReloaded")
}

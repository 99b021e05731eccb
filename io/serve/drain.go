package serve

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"mothcart/io/inbound"
)

// unusedSignal is the only signal registered with kratos, which would handle every signal if none were
// given. The process handles its signals itself, since a second signal ends a drain early.
const unusedSignal = syscall.SIGUSR2

// drainPollInterval is the polling interval of the number of requests still in progress.
const drainPollInterval = 20 * time.Millisecond

// drainState tracks the phases of the shutdown of a process: drain started, drain aborted, closed.
type drainState struct {
	mu      sync.Mutex
	startCh chan struct{}
	started bool
	abortCh chan struct{}
	aborted bool
	closed  bool
}

func newDrainState() drainState {
	return drainState{startCh: make(chan struct{}), abortCh: make(chan struct{})}
}

// abort ends the drain early. It may be called more than once.
func (d *drainState) abort() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.aborted {
		d.aborted = true
		close(d.abortCh)
	}
}

// start starts the drain; it reports false if the drain had been started before.
func (d *drainState) start() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		return false
	}
	d.started = true
	close(d.startCh)
	return true
}

func (d *drainState) isStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// close marks the process as closed; it reports false if it was already closed.
func (d *drainState) close() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.closed
	d.closed = true
	return first
}

// Drain starts a graceful shutdown; Run returns when the shutdown is complete.
func (s *Server) Drain() { s.drain.start() }

// awaitDrain waits until ctx ends, a signal arrives or Drain is called, and then drains.
func (s *Server) awaitDrain(ctx context.Context) {
	signals := make(chan os.Signal, 2)
	if s.opts.Signals {
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		defer signal.Stop(signals)
	}
	select {
	case <-ctx.Done():
	case <-signals:
	case <-s.drain.startCh:
	}
	s.drain.start()
	s.runDrain(signals)
}

// runDrain hands over the VM's roles, waits DrainLag for the load balancer to notice that the VM is not
// ready, closes the homes of upstreams, and then waits for the requests in progress, the connections of callers and the ledger. A
// second signal ends it early, except during the wait for the ledger; DrainLimit ends it early, except during
// DrainLag.
func (s *Server) runDrain(signals <-chan os.Signal) {
	cfg := s.opts.Settings
	startedAt := time.Now()
	s.opts.Log.Info().Dur("lag", cfg.DrainLag).Msg("drainStarted")
	limit := time.NewTimer(cfg.DrainLimit)
	defer limit.Stop()
	s.peers.Leave()
	if s.inbound != nil {
		s.inbound.Leave()
	}
	lag := time.NewTimer(cfg.DrainLag)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-s.drain.abortCh:
		return
	case <-signals:
		s.logDrainAborted("second signal")
		return
	}
	if home := s.home.Swap(nil); home != nil {
		home.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(startedAt.Add(cfg.DrainLimit)))
	defer cancel()
	connections := s.drainConnections(startedAt.Add(cfg.DrainLimit - inbound.EndTime - drainPollInterval))
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for s.handler.InFlight() > 0 || !isClosed(connections) {
		select {
		case <-poll.C:
		case <-s.drain.abortCh:
			return
		case <-signals:
			s.logDrainAborted("second signal")
			return
		case <-limit.C:
			s.logDrainAborted("drainLimit")
			return
		}
	}
	if err := s.ledger.Drain(ctx); err != nil {
		s.logDrainAborted("drainLimit")
		return
	}
	s.opts.Log.Info().Dur("took", time.Since(startedAt)).Msg("drainDone")
}

// drainConnections ends the connections of callers; the channel is closed when all have ended, or inbound.EndTime after a
// time at which what has come in part is refused. net/http ends those over TLS when the server stops.
func (s *Server) drainConnections(end time.Time) <-chan struct{} {
	ended := make(chan struct{})
	if s.inbound == nil {
		close(ended)
		return ended
	}
	s.wg.Go(func() {
		defer close(ended)
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		if err := s.inbound.Drain(ctx); err != nil {
			s.opts.Log.Warn().Err(err).Msg("connectionsNotDrained")
		}
	})
	return ended
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (s *Server) logDrainAborted(reason string) {
	s.opts.Log.Warn().Str("reason", reason).Int("requestsCut", s.handler.InFlight()).Msg("drainCut")
}

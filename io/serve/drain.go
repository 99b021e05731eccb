package serve

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// unusedSignal is given to kratos, which takes all signals when it is given none. The process
// handles its signals itself, since a second one cuts a drain short.
const unusedSignal = syscall.SIGUSR2

// drainPoll is the time between two looks at what is still in progress.
const drainPoll = 20 * time.Millisecond

// drainState tells the phases of a process's end.
type drainState struct {
	mu     sync.Mutex
	asked  chan struct{}
	isSet  bool
	killed chan struct{}
	isCut  bool
	closed bool
}

func newDrainState() drainState {
	return drainState{asked: make(chan struct{}), killed: make(chan struct{})}
}

// cut ends the drain at once.
func (d *drainState) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isCut {
		d.isCut = true
		close(d.killed)
	}
}

// ask starts the drain; it reports false when it was asked for before.
func (d *drainState) ask() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isSet {
		return false
	}
	d.isSet = true
	close(d.asked)
	return true
}

func (d *drainState) isAsked() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isSet
}

// close marks the process as closed; it reports false when it was before.
func (d *drainState) close() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.closed
	d.closed = true
	return first
}

// Drain asks the process to end gracefully; Run returns when it has.
func (s *Server) Drain() { s.drain.ask() }

// awaitDrain waits for the end of ctx, a signal or a call of Drain, and drains.
func (s *Server) awaitDrain(ctx context.Context) {
	signals := make(chan os.Signal, 2)
	if s.opts.Signals {
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		defer signal.Stop(signals)
	}
	select {
	case <-ctx.Done():
	case <-signals:
	case <-s.drain.asked:
	}
	s.drain.ask()
	s.runDrain(signals)
}

// runDrain goes through the phases: not ready while the balancer notices, roles handed over, every
// request in progress finished. A second signal or the limit ends it early.
func (s *Server) runDrain(signals <-chan os.Signal) {
	cfg := s.opts.Settings
	begun := time.Now()
	s.opts.Log.Info().Dur("lag", cfg.DrainLag).Msg("drainStarted")
	limit := time.NewTimer(cfg.DrainLimit)
	defer limit.Stop()
	s.peers.Leave()
	lag := time.NewTimer(cfg.DrainLag)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-s.drain.killed:
		return
	case <-signals:
		s.logCut("second signal")
		return
	}
	if home := s.home.Swap(nil); home != nil {
		home.Close()
	}
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for s.handler.InFlight() > 0 {
		select {
		case <-poll.C:
		case <-s.drain.killed:
			return
		case <-signals:
			s.logCut("second signal")
			return
		case <-limit.C:
			s.logCut("drainLimit")
			return
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(begun.Add(cfg.DrainLimit)))
	defer cancel()
	if err := s.ledger.Drain(ctx); err != nil {
		s.logCut("drainLimit")
		return
	}
	s.opts.Log.Info().Dur("took", time.Since(begun)).Msg("drainDone")
}

func (s *Server) logCut(reason string) {
	s.opts.Log.Warn().Str("reason", reason).Int("requestsCut", s.handler.InFlight()).Msg("drainCut")
}

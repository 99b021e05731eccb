package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mothcart/io/disk"
)

const (
	// siteStateFile holds a node's last view of the site, in its data directory.
	siteStateFile = "knowledge"
	// progressFile holds the checkpoints of items that the home has sent to the node.
	progressFile = "progress"
	// suspectsFile holds what the node knows against parts of prompts and against requests.
	suspectsFile = "parts"
	// saveInterval is the delay between a change and its write, so that successive changes share a write.
	saveInterval = 200 * time.Millisecond
)

// saver persists a value in a file for the node's next start. The file is a cache: a node without it
// gets the site state from the object service or another node, and items without checkpoints run again.
type saver struct {
	dir, name string
	value     func() any
	log       zerolog.Logger
	wake      chan struct{}
	end       chan struct{}
	done      sync.WaitGroup
}

// newSaver starts a saver for a file in dir; if dir is empty it returns nil, which saves nothing.
func newSaver(dir, name string, value func() any, log zerolog.Logger) *saver {
	if dir == "" {
		return nil
	}
	s := &saver{dir: dir, name: name, value: value, log: log, wake: make(chan struct{}, 1), end: make(chan struct{})}
	s.done.Go(func() {
		for s.await() {
			s.save()
		}
	})
	return s
}

// changed requests a write of the value.
func (s *saver) changed() {
	if s == nil {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// close stops the saver; a write that is still delayed is dropped.
func (s *saver) close() {
	if s == nil {
		return
	}
	close(s.end)
	s.done.Wait()
}

// await waits for a change and for saveInterval after it. It returns false when the saver is closed.
func (s *saver) await() bool {
	select {
	case <-s.end:
		return false
	case <-s.wake:
	}
	t := time.NewTimer(saveInterval)
	defer t.Stop()
	select {
	case <-s.end:
		return false
	case <-t.C:
		return true
	}
}

// save replaces the file. It runs in the saver's goroutine and only logs errors, so that a full or slow
// disk delays nothing else.
func (s *saver) save() {
	if err := disk.Save(s.dir, s.name, s.value()); err != nil {
		s.log.Warn().Str("dir", s.dir).Str("file", s.name).Err(err).Msg("notSaved")
	}
}

// load returns the value that a saver wrote before the restart, or the zero value if there is none.
func load[T any](dir, name string, log zerolog.Logger) T {
	var v T
	found, err := disk.Load(dir, name, &v)
	if err != nil {
		log.Warn().Str("dir", dir).Str("file", name).Err(err).Msg("savedUnreadable")
	}
	if !found {
		var none T
		return none
	}
	return v
}

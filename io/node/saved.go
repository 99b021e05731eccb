package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mothcart/io/disk"
)

const (
	// knowledgeFile holds what a node knows of the site, in its data directory.
	knowledgeFile = "knowledge"
	// progressFile holds the progress of items that the home lets the node keep.
	progressFile = "progress"
	// saveInterval is the time between a change and its write, so that changes in a row make one.
	saveInterval = 200 * time.Millisecond
)

// saver keeps a value in a file, for the node's next start. It is a cache: a node without the file
// learns the same from the object service or another node, or items run again.
type saver struct {
	dir, name string
	value     func() any
	log       zerolog.Logger
	wake      chan struct{}
	end       chan struct{}
	done      sync.WaitGroup
}

// newSaver starts to save in a directory; it returns nil, which saves nothing, if dir is empty.
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

// changed tells that there is something new to save.
func (s *saver) changed() {
	if s == nil {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// close ends the saver.
func (s *saver) close() {
	if s == nil {
		return
	}
	close(s.end)
	s.done.Wait()
}

// await waits for a change and for others that follow at once. It reports false at the end.
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

// save replaces the file. A disk that is full or slow delays nothing else.
func (s *saver) save() {
	if err := disk.Save(s.dir, s.name, s.value()); err != nil {
		s.log.Warn().Str("dir", s.dir).Str("file", s.name).Err(err).Msg("notSaved")
	}
}

// load reads what a saver wrote before the start, or the zero value.
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

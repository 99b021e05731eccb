package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mothcart/io/disk"
	"mothcart/io/home"
)

const (
	// savedName is the file with the knowledge of a node in its data directory.
	savedName = "knowledge"
	// saveInterval is the time between a change and its write, so that changes in a row make one.
	saveInterval = 200 * time.Millisecond
)

// saver keeps what a node knows in a file, for its next start. It is a cache: a node without the file
// learns the same from the object service or another node.
type saver struct {
	dir   string
	knows func() home.Knowledge
	log   zerolog.Logger
	wake  chan struct{}
	end   chan struct{}
	done  sync.WaitGroup
}

// newSaver starts to save in a directory; it returns nil, which saves nothing, if dir is empty.
func newSaver(dir string, knows func() home.Knowledge, log zerolog.Logger) *saver {
	if dir == "" {
		return nil
	}
	s := &saver{dir: dir, knows: knows, log: log, wake: make(chan struct{}, 1), end: make(chan struct{})}
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
	if err := disk.Save(s.dir, savedName, s.knows()); err != nil {
		s.log.Warn().Str("dir", s.dir).Err(err).Msg("knowledgeNotSaved")
	}
}

// load reads what the node knew before its start. It reports false if there is nothing to read.
func load(dir string, log zerolog.Logger) (home.Knowledge, bool) {
	var k home.Knowledge
	found, err := disk.Load(dir, savedName, &k)
	if err != nil {
		log.Warn().Str("dir", dir).Err(err).Msg("savedKnowledgeUnreadable")
	}
	return k, found
}

package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// reservedFDs are the descriptors of a process that the platform reserves for files outside its data directory.
	reservedFDs = 200
	// descriptorInterval is the time between two counts of descriptors.
	descriptorInterval = 50 * time.Millisecond
	// lastLogBytes is how much of the log of a process that has ended is shown.
	lastLogBytes = 2000
)

// process is an entry or a home node.
type process struct {
	id, logs, dataDir string
	cmd               *exec.Cmd
	ended             chan struct{}
	// descriptors are the most that were counted.
	descriptors descriptors
}

// descriptors is a number of open descriptors of a process; shared are those for sockets, pipes and files of the data directory.
type descriptors struct{ all, shared int }

// alive reports that the process is the one that was started.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// lastLogs returns the end of the log.
func (p *process) lastLogs() string {
	b, err := os.ReadFile(p.logs)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-lastLogBytes):])
}

func (p *process) proc(file string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), file)
}

// peakMB returns the most resident memory that the process has had, in MB, rounded up.
func (p *process) peakMB(t *testing.T) int {
	b, err := os.ReadFile(p.proc("status"))
	require.NoError(t, err)
	_, rest, _ := bytes.Cut(b, []byte("VmHWM:"))
	var kilobytes int
	_, err = fmt.Sscanf(string(rest), "%d kB", &kilobytes)
	require.NoError(t, err)
	return (kilobytes + 1023) >> 10
}

// countDescriptors keeps the most descriptors that the process has had at a count.
func (p *process) countDescriptors() {
	files, err := os.ReadDir(p.proc("fd"))
	if err != nil {
		return // the process has ended
	}
	now := descriptors{all: len(files)}
	for _, f := range files {
		target, err := os.Readlink(p.proc("fd/" + f.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:") || p.dataDir != "" && strings.HasPrefix(target, p.dataDir)) {
			now.shared++
		}
	}
	p.descriptors = descriptors{all: max(p.descriptors.all, now.all), shared: max(p.descriptors.shared, now.shared)}
}

// enforceDescriptors makes the system refuse the processes more descriptors than their settings name.
func (s *site) enforceDescriptors() {
	n := uint64(s.maxFDs)
	for _, p := range s.processes {
		require.NoError(s.t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil))
	}
}

// watchDescriptors counts the descriptors of all processes while f runs.
func (s *site) watchDescriptors(f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		for _, p := range s.processes {
			p.countDescriptors()
		}
		select {
		case <-done:
			return
		case <-time.After(descriptorInterval):
		}
	}
}

// checkBounds checks that each process is the one that was started, and that its memory and descriptors never reached the limits
// of its settings.
func (s *site) checkBounds() {
	for _, p := range s.processes {
		if !assert.True(s.t, p.alive(), "process %s lives: %s", p.id, p.lastLogs()) {
			continue
		}
		peak := p.peakMB(s.t)
		s.t.Logf("%s: peak of %d MB, %d descriptors, %d of them shared", p.id, peak, p.descriptors.all, p.descriptors.shared)
		assert.Less(s.t, peak, memoryMB, "memory of %s in MB", p.id)
		assert.Less(s.t, p.descriptors.all, s.maxFDs, "descriptors of %s", p.id)
		assert.LessOrEqual(s.t, p.descriptors.shared, s.maxFDs-reservedFDs, "descriptors of %s for sockets, pipes and data", p.id)
	}
}

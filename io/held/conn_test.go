package held

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const limit = 1 << 20

func newBudget() *Budget {
	return NewBudget(Options{Bytes: limit, Now: time.Now, Log: zerolog.Nop(), Registry: metrics.NewRegistry()})
}

// pipe returns both ends of a connection without buffers.
func pipe(b *Budget) (caller net.Conn, c *Conn) {
	caller, near := net.Pipe()
	return caller, &Conn{Conn: near, budget: b}
}

// write writes n bytes and passes on the error and how long that took.
func write(c *Conn, n int) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, n))
		done <- err
	}()
	return done
}

// read reads some bytes a number of times, after a pause each, or until the connection ends.
func read(caller net.Conn, times, step int, pause time.Duration) {
	for range times {
		time.Sleep(pause)
		if _, err := io.ReadFull(caller, make([]byte, step)); err != nil {
			return
		}
	}
}

// Guards against connections of slow callers that end, and against those of stalled ones that don't.
func TestSlowIsNotStalled(t *testing.T) {
	const size = 64 << 10
	for _, tc := range []struct {
		name string
		// step is the number of bytes that the caller reads each time, pause the time between, until the number of reads.
		step, reads int
		pause       time.Duration
		stalls      bool
		behind      int
	}{
		{"reads at once", size, 1, time.Millisecond, false, 0},
		{"slow", 1 << 10, 64, time.Second, false, 1},
		{"very slow", 200, size/200 + 1, 5 * time.Second, false, 1},
		{"reads nothing", 0, 1, time.Minute, true, 1},
		{"reads a byte now and then", 1, 60, time.Second, true, 1},
		{"stops in the middle", 1 << 10, 32, time.Second, true, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller, c := pipe(newBudget())
				defer time.Sleep(2 * time.Minute) // the caller ends
				defer caller.Close()
				defer c.Close()
				behind := 0
				c.OnBehind(func() { behind++ })
				began := time.Now()
				done := write(c, size)
				go read(caller, tc.reads, tc.step, tc.pause)
				err := <-done
				require.Equal(t, tc.behind, behind)
				require.Empty(t, c.budget.behind)
				if !tc.stalls {
					require.NoError(t, err)
					return
				}
				require.ErrorIs(t, err, ErrStalled)
				require.LessOrEqual(t, time.Since(began), time.Duration(tc.reads)*tc.pause+stallTime+checkInterval)
				if tc.step <= 1 {
					require.LessOrEqual(t, time.Since(began), stallTime+checkInterval)
				}
			})
		})
	}
}

// When the memory is needed, the caller that has not read for the longest time goes first, and none that reads.
func TestLongestUnreadGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		ended := make(map[string]<-chan error)
		for _, name := range []string{"first", "second", "reading"} {
			caller, c := pipe(b)
			defer time.Sleep(time.Second) // the caller ends
			defer caller.Close()
			defer c.Close()
			ended[name] = write(c, 64<<10)
			if name == "reading" {
				go read(caller, 1000, 100, 100*time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
		}
		require.True(t, b.Take(limit/2))
		require.False(t, b.Take(limit))
		require.Empty(t, ended["first"], "it may be slow only")
		time.Sleep(evictAfter - time.Second)
		require.False(t, b.Take(limit))
		require.ErrorIs(t, <-ended["first"], ErrEvicted)
		time.Sleep(time.Second)
		require.Empty(t, ended["second"], "one at a time")
		require.False(t, b.Take(limit))
		require.ErrorIs(t, <-ended["second"], ErrEvicted)
		require.False(t, b.Take(limit))
		time.Sleep(10 * time.Second)
		require.Empty(t, ended["reading"])
		b.Free(limit / 2)
		require.Zero(t, b.current().Held())
	})
}

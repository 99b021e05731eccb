package held

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkWrite measures an event of a stream that is written to a caller who reads.
func BenchmarkWrite(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkWrite(b, func(l net.Listener) net.Listener { return l }) })
	b.Run("wrapped", func(b *testing.B) {
		benchmarkWrite(b, func(l net.Listener) net.Listener { return NewListener(l, newBudget()) })
	})
}

func benchmarkWrite(b *testing.B, wrap func(net.Listener) net.Listener) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer l.Close()
	go func() {
		if c, err := net.Dial("tcp4", l.Addr().String()); err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}()
	c, err := wrap(l).Accept()
	require.NoError(b, err)
	defer c.Close()
	event := make([]byte, 100)
	for b.Loop() {
		if _, err := c.Write(event); err != nil {
			b.Fatal(err)
		}
	}
}

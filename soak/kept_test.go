package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"

	"mothcart/platform/fake"
)

// keptConn is the connection of a caller to an entry.
type keptConn struct {
	*net.TCPConn
	entry  int
	reader *bufio.Reader
	// asked are the requests that have no answer yet, due the bytes sent of them that an entry must not read without an answer.
	asked []keptRequest
	due   int
}

type keptRequest struct {
	id, path string
	size     int
}

// tcpState returns the state of this end of the connection, which stays when the other end is gone.
func (k *keptConn) tcpState() uint8 {
	info := &unix.TCPInfo{}
	if raw, err := k.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	}
	return info.State
}

// send sends a request, or two at once, whole or in pieces with pauses, until the entry has closed the connection.
func (p *plannedSite) send(rng *rand.Rand, k *keptConn, id string) {
	var b bytes.Buffer
	paths := []string{"/ask/stream/1", "/once/stream/1", "/fetch/1", "/swap/1", "/new/1"}
	for i := range 1 + rng.IntN(5)/4 {
		q := keptRequest{id: fmt.Sprintf("%s.%d", id, i), path: paths[rng.IntN(len(paths))], size: -b.Len()}
		r := p.request(http.MethodPost, k.entry+1, q.path, q.id, bytes.Repeat([]byte("b"), rng.IntN(500)))
		if rng.IntN(4) == 0 {
			r.ContentLength = -1 // sent in chunks
		}
		assert.NoError(p.s.t, r.Write(&b))
		q.size += b.Len()
		k.asked = append(k.asked, q)
	}
	for n := 1 + rng.IntN(4); b.Len() > 0 && k.tcpState() == unix.BPF_TCP_ESTABLISHED; n-- {
		size := b.Len()
		if n > 1 {
			size = min(size, 2+rng.IntN(size)) // an entry that lingers may read one byte
		}
		written, _ := k.Write(b.Next(size)) // after an error, the state is another one
		k.due += written
		if b.Len() > 0 {
			time.Sleep(between(rng, time.Millisecond, 60*time.Millisecond))
		}
	}
}

// receive checks the next answer. It reports false if the connection has ended.
func (p *plannedSite) receive(k *keptConn) bool {
	t, q := p.s.t, k.asked[0]
	assert.NoError(t, k.SetReadDeadline(time.Now().Add(20*time.Second)))
	if _, err := k.reader.Peek(1); err != nil {
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%s has neither an answer nor the end of its connection", q.id)
		return false
	}
	assert.Positive(t, k.due, "an answer comes before %s was sent", q.id)
	resp, err := http.ReadResponse(k.reader, nil)
	if !assert.NoError(t, err, "the answer to %s is complete", q.id) {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	assert.NoError(t, err, "the answer to %s, %d, is complete", q.id, resp.StatusCode)
	k.due, k.asked = k.due-q.size, k.asked[1:]
	p.record(q.id, strings.HasPrefix(q.path, "/once") || strings.HasPrefix(q.path, "/swap"), resp, nil)
	switch {
	case resp.StatusCode == http.StatusOK:
		assert.Equal(t, fake.Signature(q.id), fake.SignatureOf(resp.Header))
		if strings.Contains(q.path, "/stream") {
			assert.Equal(t, fake.CompleteText(q.id, eventsPerStream), fake.TextOf(string(body)))
		} else {
			assert.True(t, strings.HasPrefix(string(body), q.id+" by "), "%s is answered %s", q.id, body)
		}
	case isRefusal(resp.StatusCode):
		assert.Zero(t, p.s.runCount(q.id), "%s was refused and ran", q.id)
	default:
		assert.True(t, resp.StatusCode == http.StatusNotFound && q.path == "/new/1", "%d for %s of %s: %s", resp.StatusCode, q.path, q.id, body)
	}
	if resp.Close {
		k.due = 0 // what is left of it is told to be unanswered
		_, err := k.reader.ReadByte()
		assert.Error(t, err, "the answer to %s says that it is the last one", q.id)
		_ = k.Close()
	}
	return !resp.Close
}

package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

const (
	uploadSeed  = 160
	uploads     = 90
	uploadBytes = 3_900_000
	// cutUploads is how many uploads there are for each whose answer is cut.
	cutUploads = 3
	// earlyBytes is the size of an answer that comes while the upload goes on.
	earlyBytes = 60_000
)

// TestCutAnswersToUploadsArePassedToNoCaller sends long uploads to an engine that answers early. Two of three answers are whole; the
// others are reset in the middle while the upload is written. It guards against cut answers that look whole to callers.
func TestCutAnswersToUploadsArePassedToNoCaller(t *testing.T) {
	onSite(t, build(t), uploadSeed, func(c *checker, seed uint64) {
		s, t := c.s, c.s.t
		s.desk.SetState("draining")
		body := strings.Repeat("x", earlyBytes)
		announced := s.startEarly(rand.New(rand.NewPCG(seed, 1)), body)
		fake.NewRaw(s.network, fake.EngineOptions{
			ID: "early", Service: "desk", Address: s.ip(6, 1) + ":7200", Announced: announced, Zone: "z1", Slots: deskSlots, Born: 1, Objects: s.objects,
		}, func(io.Writer, string) {})
		time.Sleep(time.Second)
		for i := range uploads {
			resp, got, err := c.call(http.MethodPost, 1+i%entries, []string{"/fetch/1", "/swap/1"}[i%2], uploadID(i), make([]byte, uploadBytes))
			require.NoError(t, err, "u%d", i)
			if i%cutUploads == 0 {
				assert.Equal(t, http.StatusBadGateway, resp.StatusCode, "u%d, whose answer is cut", i)
				continue
			}
			assert.Equal(t, http.StatusOK, resp.StatusCode, "u%d: %.100s", i, got)
			assert.Equal(t, len(body), len(got), "bytes of the answer to u%d", i)
		}
	})
}

func uploadID(i int) string { return fmt.Sprintf("u%d", i) }

// isCut reports that the answer to an upload is cut.
func isCut(id string) bool {
	i, err := strconv.Atoi(strings.TrimPrefix(id, "u"))
	return err == nil && i%cutUploads == 0
}

// startEarly starts an upstream that answers a request before it has read the body, and returns its address.
func (s *site) startEarly(rng *rand.Rand, body string) string {
	l, err := net.Listen("tcp4", s.ip(7, 1)+":7200")
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			length, pause := rng.IntN(2) == 0, between(rng, 0, 30*time.Millisecond)
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				req, err := http.ReadRequest(r)
				if err != nil {
					return // a connection without a request
				}
				id := req.Header.Get(platform.RequestIDHeader)
				head := fake.RawHead(id)
				if isCut(id) {
					_, _ = io.WriteString(conn, head+"\r\n"+body[:earlyBytes/2]) // the other side may have closed
					time.Sleep(pause)
					_ = conn.(*net.TCPConn).SetLinger(0)
					return
				}
				if length {
					head += fmt.Sprintf("Content-Length: %d\r\n", earlyBytes)
				}
				_, _ = io.WriteString(conn, head+"\r\n"+body)
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, r) // ends when the other side closes the connection
			}()
		}
	}()
	return l.Addr().String()
}

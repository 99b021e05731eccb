package crowd

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

// client is one connection of a crowd.
type client struct {
	conn net.Conn
	rng  *rand.Rand
	// stop is closed at the end of the crowd, closed when the process has closed the connection.
	stop   <-chan struct{}
	closed chan struct{}
	// status is that of the first answer, 0 if there is none; it may be read once closed is closed.
	status int
}

// connect opens a connection, lets send use it and closes it at the end of the crowd, or once the process has closed it. It
// returns the status of the first answer, 0 if there is none.
func connect(source, address string, rng *rand.Rand, stop <-chan struct{}, send func(c *client)) int {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: dialTimeout}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return 0 // a process may refuse a crowd
	}
	c := &client{conn: conn, rng: rng, stop: stop, closed: make(chan struct{})}
	go c.read()
	ended := make(chan struct{})
	go func() {
		select {
		case <-stop:
		case <-c.closed:
		case <-ended:
		}
		_ = conn.Close() // ends a read or write in progress
	}()
	send(c)
	close(ended)
	<-c.closed
	return c.status
}

// read reads all answers, until either side closes the connection.
func (c *client) read() {
	defer close(c.closed)
	r := bufio.NewReader(c.conn)
	if resp, err := http.ReadResponse(r, nil); err == nil {
		c.status = resp.StatusCode
	}
	_, _ = io.Copy(io.Discard, r)
}

// write sends bytes and reports whether the connection is still open.
func (c *client) write(s string) bool {
	_, err := io.WriteString(c.conn, s)
	return err == nil
}

// hold keeps the connection until the end of the crowd.
func (c *client) hold() {
	select {
	case <-c.stop:
	case <-c.closed:
	}
}

// pause waits and reports whether the connection is still open.
func (c *client) pause(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-c.closed:
		return false
	case <-time.After(d):
		return true
	}
}

package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/order"
)

// faultyEngine writes each answer once more on its connection.
type faultyEngine struct {
	// named reports that answers carry the ID of their request; delay is the time to the second copy.
	named bool
	delay time.Duration
	// refused is the ID of the request that is refused.
	refused string
	// ran counts how often each request was run.
	ran map[string]int
}

// answerTime is the time from a request to its answer.
const answerTime = 10 * time.Millisecond

func (e *faultyEngine) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.serve(far)
	return near, nil
}

func (e *faultyEngine) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return // the client has closed the connection
		}
		_, _ = io.Copy(io.Discard, req.Body) // fails if the connection is closed, as the next read does
		time.Sleep(answerTime)
		answer := e.answer(req.URL.Path, req.Header.Get(requestIDHeader))
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		go func() {
			time.Sleep(e.delay)
			_, _ = io.WriteString(conn, answer) // the client may have closed the connection
		}()
	}
}

func (e *faultyEngine) answer(path, id string) string {
	status, body := "200 OK", fmt.Sprintf(`{"running":7,"loaded":[{"name":%q}]}`, path)
	switch {
	case id == "":
	case id == e.refused:
		status, body = "503 Full", `{"error":"full"}`
	default:
		e.ran[id]++
		body = "id: 0\ndata: text of " + id + "\n\ndata: [DONE]\n\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n", status, len(body))
	if e.named && id != "" {
		head += requestIDHeader + ": " + id + "\r\n"
	}
	return head + "\r\n" + body
}

// Guards against an engine's earlier answer, or refusal, that is taken for the answer to the next call.
func TestSecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for _, named := range []bool{true, false} {
		for _, delay := range []time.Duration{0, time.Millisecond, answerTime / 2, 3 * answerTime / 2} {
			t.Run(fmt.Sprintf("named=%v, %v", named, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := &faultyEngine{named: named, delay: delay, refused: "a", ran: map[string]int{}}
					c := New(NewOptions().WithDial(e.dial))
					defer time.Sleep(time.Minute) // ends what waits to be written
					defer c.Close()
					stream := func(id string) (text string, err error) {
						err = c.Stream(t.Context(), Call{Address: "e:80", Path: ChatPath, RequestID: id, Body: []byte("{}")}, func(e Event) error {
							text += e.Data + "\n"
							return nil
						})
						return text, err
					}
					for i := range 4 {
						var refusal *Failure
						_, err := stream("a")
						require.ErrorAs(t, err, &refusal)
						require.Equal(t, Refused, refusal.Kind)

						id := fmt.Sprint("stream", i)
						text, err := stream(id)
						require.NoError(t, err)
						require.Equal(t, "text of "+id+"\n[DONE]\n", text)

						load, err := c.Load(t.Context(), "e:80")
						require.NoError(t, err)
						require.Equal(t, 7, load.Running)

						id = fmt.Sprint("complete", i)
						body, err := c.Complete(t.Context(), Call{Address: "e:80", Path: ChatPath, RequestID: id, Body: []byte("{}")})
						require.NoError(t, err)
						require.Contains(t, string(body), "text of "+id)
						require.Equal(t, 1, e.ran[id])

						state, err := c.OrderState(t.Context(), "e:80")
						require.NoError(t, err)
						require.Equal(t, []order.Loaded{{Name: ordersPath}}, state.Loaded)
						require.NoError(t, c.Order(t.Context(), "e:80", 1, order.Desired{}))
					}
				})
			})
		}
	}
}

package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// endlessBody is a body that never ends; it counts the bytes that are read and the largest buffer for them.
type endlessBody struct{ read, largest int64 }

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += int64(len(p))
	b.largest = max(b.largest, int64(len(p)))
	return len(p), nil
}

// Close implements io.Closer.
func (*endlessBody) Close() error { return nil }

func answerOf(r io.Reader, length int64) Answer { return Answer{Body: io.NopCloser(r), Length: length} }

// Guards against answers that together take more memory than the process has.
func TestAnswersShareTheirRoom(t *testing.T) {
	const limit = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		c := New(NewOptions().WithAnswerBytes(2 * limit))
		whole := bytes.Repeat([]byte("x"), limit)
		ctx, cancel := context.WithCancel(t.Context())
		held := 0
		for {
			b, err := c.ReadAnswer(ctx, answerOf(bytes.NewReader(whole), -1), limit)
			if err != nil {
				require.ErrorIs(t, err, ErrNoRoom)
				break
			}
			require.Equal(t, whole, b)
			held++
			require.LessOrEqual(t, held, 2)
		}
		require.Positive(t, held)
		small, err := c.ReadAnswer(ctx, answerOf(strings.NewReader("ok"), 2), limit)
		require.NoError(t, err, "a small answer needs no room")
		require.Equal(t, "ok", string(small))
		cancel()
		synctest.Wait()
		require.Equal(t, int64(2*limit), c.answers.free, "all room is given back")
	})
}

// Guards against answers that keep room though their bodies are not held.
func TestAnswerThatIsNotHeldTakesNoRoom(t *testing.T) {
	const limit = 1 << 20
	broken := errors.New("connection reset")
	for _, tc := range []struct {
		name   string
		answer Answer
		want   error
	}{
		{"without end", Answer{Body: &endlessBody{}, Length: -1}, ErrTooLarge},
		{"broken off", answerOf(io.MultiReader(bytes.NewReader(make([]byte, limit/2)), iotest.ErrReader(broken)), -1), broken},
		{"broken off at the limit", answerOf(io.MultiReader(bytes.NewReader(make([]byte, limit)), iotest.ErrReader(broken)), -1), broken},
		{"declared too long", Answer{Body: &endlessBody{}, Length: limit + 1}, ErrTooLarge},
		{"declared too long, without a body", Answer{Body: http.NoBody, Length: limit + 1}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(NewOptions())
			_, err := c.ReadAnswer(t.Context(), tc.answer, limit)
			require.ErrorIs(t, err, tc.want)
			var failure *Failure
			if tc.want != nil {
				require.ErrorAs(t, err, &failure)
				require.True(t, failure.Sent)
			}
			require.Equal(t, int64(DefaultAnswerBytes), c.answers.free)
		})
	}
}

// Guards against memory for bytes that an answer declares and that have not arrived.
func TestDeclaredLengthAloneTakesNoMemory(t *testing.T) {
	const declared = 1 << 20
	for _, tc := range []struct {
		name      string
		length    int64
		read, buf int64
	}{
		{"within the limit", declared, declared, declared / 2},
		{"over the limit", declared + 1, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(NewOptions())
			body := &endlessBody{}
			_, err := c.ReadAnswer(t.Context(), Answer{Body: body, Length: tc.length}, declared)
			require.ErrorIs(t, err, ErrTooLarge)
			require.LessOrEqual(t, body.read, tc.read+1)
			require.LessOrEqual(t, body.largest, tc.buf, "the buffer grows with the bytes that have arrived")
		})
	}
}

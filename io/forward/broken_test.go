package forward

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against events that wait for the rest of the next one, which may never come.
func TestEventIsSentBeforeTheRestOfTheNextOne(t *testing.T) {
	for _, rest := range []string{"", "\n", "id: 4", "id: 4\nda", "id: 4\r\ndata: x\r\n", ": wait"} {
		t.Run(rest, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &faulty{script: []scripted{{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + chunks + "\r\n" + chunk(events(1, 3)+rest), how: closes}}}
				require.Equal(t, heard{http.StatusOK, events(1, 3), false}, u.serve1(t, "once", ""))
			})
		})
	}
}

package serve_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/io/serve"
	"mothcart/io/settings"
	"mothcart/io/store"
	"mothcart/io/vmlist"
)

// answering returns the URL of a server that sends the same bytes on each connection, once it has read a request.
func answering(t *testing.T, answer string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.NoError(t, err) {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer) // the client may have closed the connection
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against writes that count as done, or as refused, and against objects and VMs that are read, by an answer of the
// platform's services whose head breaks the rules of HTTP.
func TestBrokenHeadOfAPlatformServiceIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nETag: \"7\"\r\n",
		"HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length : 5\r\n",
		"HTTP/3.7 200 OK\r\nETag: \"7\"\r\n",
		"HTTP/1.1 000 OK\r\nETag: \"7\"\r\n",
		"HTTP/1.1 404 Not Found\r\nX Odd: 1\r\n",
		"HTTP/1.1 412 Precondition Failed\r\nX Odd: 1\r\n",
		"HTTP/1.1 503 Busy\r\nX Odd: 1\r\n",
	} {
		url := answering(t, head+"\r\n{\"revision\":7,\"vms\":[]}")
		opts := serve.NewOptions(settings.Settings{VMID: "e1", StoreURL: url, VMListURL: url}, zerolog.Nop())
		_, err := opts.Store.Get(t.Context(), "k")
		require.ErrorIs(t, err, store.ErrUnavailable, "%q", head)
		require.NotErrorIs(t, err, store.ErrNotFound, "%q", head)
		_, err = opts.Store.Put(t.Context(), "k", []byte("v"), 7)
		require.ErrorIs(t, err, store.ErrUnknown, "%q", head)
		require.NotErrorIs(t, err, store.ErrUnavailable, "%q", head)
		require.ErrorIs(t, opts.Store.Delete(t.Context(), "k", 7), store.ErrUnknown, "%q", head)
		_, err = opts.VMList.Read(t.Context(), 0, 0)
		require.ErrorIs(t, err, vmlist.ErrUnavailable, "%q", head)
	}
}

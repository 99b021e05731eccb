package forward

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"mothcart/io/service"
)

func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 3*eventBuffer)
	for _, tc := range []struct {
		name, in string
		events   []string
		data     []string
		last     string
		err      error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"a", "b"}, "2", io.EOF},
		{"carriage returns", "id:1\r\ndata:a\r\n\r\n", []string{"id:1\r\ndata:a\r\n\r\n"}, []string{"a"}, "1", io.EOF},
		{"several lines of data", "data: a\ndata: b\n\n", []string{"data: a\ndata: b\n\n"}, []string{"a\nb"}, "", io.EOF},
		{"other fields", "mothcart-versions: 3\nid: 1\ndataset: z\ndata: a\n\n", []string{"mothcart-versions: 3\nid: 1\ndataset: z\ndata: a\n\n"}, []string{"a"}, "1", io.EOF},
		{"ends inside an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, []string{"a"}, "1", errPartialEvent},
		{"ends before the closing line", "id: 1\ndata: a\n", nil, nil, "", errPartialEvent},
		{"empty", "", nil, nil, "", io.EOF},
		{"longer than the buffer", "id: 1\ndata: " + long + "\n\n", []string{"id: 1\ndata: " + long + "\n\n"}, []string{long}, "1", io.EOF},
		{"empty lines before an event", "\n\r\n\nid: 1\ndata: a\n\n", []string{"\n\r\n\nid: 1\ndata: a\n\n"}, []string{"a"}, "1", io.EOF},
		{"empty lines at the end", "id: 1\ndata: a\n\n\n\n", []string{"id: 1\ndata: a\n\n", "\n\n"}, []string{"a", ""}, "", io.EOF},
		{"ends inside an event after empty lines", "\n\nda", nil, nil, "", errPartialEvent},
		{"too long", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", nil, nil, "", nil},
		{"too many empty lines", strings.Repeat("\n", maxEventBytes+1) + "data: a\n\n", nil, nil, "", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(tc.in), iotest.OneByteReader(strings.NewReader(tc.in))} {
				er := newEventReader(r)
				var events, data []string
				last := ""
				var err error
				for {
					var e Event
					if e, err = er.next(); err != nil {
						break
					}
					events = append(events, string(e.Raw))
					data = append(data, string(e.Data()))
					last = e.ID
				}
				require.Equal(t, tc.events, events)
				require.Equal(t, tc.data, data)
				require.Equal(t, tc.last, last)
				if tc.err == nil {
					require.ErrorIs(t, err, service.ErrTooLarge)
				} else {
					require.Equal(t, tc.err, err)
				}
			}
		})
	}
}

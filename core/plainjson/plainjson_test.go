package plainjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against texts of HTML that take six times their size.
func TestMarshalKeepsHTML(t *testing.T) {
	for _, text := range []string{"", "<p>&</p>", "a\n\"b\"\\", "\x00\x7f", "é木🌸\u2028"} {
		b, err := Marshal(map[string]any{"text": text, "raw": json.RawMessage(`"<"`)})
		require.NoError(t, err)
		require.Equal(t, strings.ContainsAny(text, "<"), strings.Contains(string(b), "<p>"))
		require.NotContains(t, string(b), `\u003c`)
		var out map[string]string
		require.NoError(t, json.Unmarshal(b, &out))
		require.Equal(t, text, out["text"])
		require.Equal(t, len(b), Size(map[string]any{"text": text, "raw": json.RawMessage(`"<"`)}))
	}
	_, err := Marshal(make(chan int))
	require.Error(t, err)
	require.Zero(t, Size(make(chan int)))
}

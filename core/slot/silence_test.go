package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against pauses that outlast the silence which caused them, and against slots that a silence frees.
func TestSilencePausesAnUpstreamUntilItGoesOn(t *testing.T) {
	p := newPool(1, 4)
	for id := range uint64(2) {
		require.Len(t, p.Ask(start, online(id)).Granted, 1)
	}
	now := start.Add(300 * time.Millisecond)
	for id := range uint64(2) {
		p.Silence(now, online(id).Key, true)
	}
	waiting := online(2)
	waiting.Deadline = now.Add(time.Second)
	require.Empty(t, p.Ask(now, waiting).Granted, "a silent upstream gets nothing new")
	require.Len(t, p.Grants(), 2, "its requests keep their slots")
	require.Len(t, p.Silence(now.Add(time.Millisecond), online(0).Key, false).Granted, 1, "it serves again when it goes on")
	require.Empty(t, p.Silence(now, Key{ID: 99}, true).Granted, "a request without a slot")
}

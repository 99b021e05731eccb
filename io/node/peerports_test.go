package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
)

// Guards against limits of the ports between nodes that the nodes of a large site meet.
func TestAllNodesOfALargeSiteFit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		memory int64
		files  int
		// links and relayed are what has to fit.
		links, relayed int
	}{
		{"smallest home", 154 << 20, 4100, 340, 0},
		{"home of the large site", 294 << 20, 8200, 2 * 340, 0},
		{"settings without limits", 0, 0, 340, 100},
		{"smallest entry", 112 << 20, 3075, 0, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := platform.Settings{MemoryBytes: tc.memory, MaxFiles: tc.files}
			require.GreaterOrEqual(t, maxLinks(s), tc.links)
			require.GreaterOrEqual(t, maxConnections(s, relayShare), tc.relayed)
			require.LessOrEqual(t, maxLinks(s), max(maxConnections(s, homeShare), tc.links))
		})
	}
}

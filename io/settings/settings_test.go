package settings

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const minimal = "[vm]\nid = e1\n[platform]\nstore = http://127.0.0.1:7000\nvmList = http://127.0.0.1:7001\n"

func TestMinimalFileWorks(t *testing.T) {
	s, err := Parse("x.ini", []byte(minimal))
	require.NoError(t, err)
	assert.Equal(t, "e1", s.VMID)
	assert.Equal(t, "127.0.0.1:8080", s.CallerAddress)
}

func TestEveryProblemIsNamed(t *testing.T) {
	for _, tc := range []struct {
		name, data, want string
	}{
		{"unknown key", minimal + "[log]\nlevle = info\n", "x.ini: [log] levle: unknown key; allowed are level"},
		{"unknown section", minimal + "[logs]\nlevel = info\n", "x.ini: [logs] level: unknown key; allowed are the sections vm, listen, tls"},
		{"bad choice", minimal + "[log]\nlevel = loud\n", `x.ini: [log] level: "loud" is wrong; it must be one of debug`},
		{"bad duration", minimal + "[limits]\ndrainLag = soon\n", `x.ini: [limits] drainLag: "soon" is wrong; it must be a duration`},
		{"bad address", minimal + "[listen]\npeers = here\n", `x.ini: [listen] peers: "here" is wrong; it must be host:port`},
		{"missing file", minimal + "[tls]\ncallerCert = /nowhere.pem\n", "x.ini: [tls] callerCert"},
		{"missing key", "[vm]\nid = e1\n", "x.ini: [platform] store: missing; it must be an http or https URL"},
		{"certificate without key", minimal + "[tls]\ncallerCert = settings.go\n", "x.ini: [tls] callerCert, callerKey: give both or none"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("x.ini", []byte(tc.data))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

// The settings table of docs/OPERATIONS.md must be the one that Reference generates.
func TestReferenceMatchesOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	assert.Contains(t, string(page), Reference())
}

func TestExampleFileWorks(t *testing.T) {
	_, err := Load("../../examples/site/entry1.ini")
	require.NoError(t, err)
}

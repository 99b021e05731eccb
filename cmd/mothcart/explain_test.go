package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestExplain checks that the timeline of a request joins the logs of an entry and a home by their field
// "ask", and contains no event of another request.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	entry, home := filepath.Join(dir, "f1.log"), filepath.Join(dir, "s1.log")
	require.NoError(t, os.WriteFile(entry, []byte(
		`{"level":"info","node":"f1","request":"r1","ask":7,"outcome":"refused:full","time":"2026-01-01T00:00:02.000Z","message":"requestDone"}`+"\n"+
			`{"level":"info","node":"f1","request":"r2","ask":8,"outcome":"answered","time":"2026-01-01T00:00:03.000Z","message":"requestDone"}`+"\n"), 0o600))
	require.NoError(t, os.WriteFile(home, []byte(
		`{"level":"info","node":"s1","peer":"f1/1/1","ask":7,"reason":"full","time":"2026-01-01T00:00:01.000Z","message":"slotRefused"}`+"\n"), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"two logs", []string{"r1", "-logs", entry, home}, exitOK, []string{"slotRefused ask=7 peer=f1/1/1 reason=full\n", "requestDone ask=7 outcome=refused:full request=r1\n"}},
		{"unknown ID", []string{"r9", "-logs", entry, home}, exitFailure, nil},
		{"no logs", []string{"r1"}, exitUsage, nil},
		{"missing file", []string{"r1", "-logs", entry + ".old"}, exitFailure, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, tc.code, runExplain(context.Background(), tc.args, &out, &errOut), errOut.String())
			for _, want := range tc.want {
				assert.Contains(t, out.String(), want)
			}
			assert.NotContains(t, out.String(), "ask=8")
			if tc.code != exitOK {
				assert.Contains(t, errOut.String(), "mothcart explain: ")
			}
		})
	}
}

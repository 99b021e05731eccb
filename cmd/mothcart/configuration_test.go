package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	fakestore "mothcart/fake/store"
	"mothcart/io/operator"
	"mothcart/io/published"
)

func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func TestExamplesPassTheCheck(t *testing.T) {
	for _, site := range []string{"parish", "stauffacher"} {
		code, out, errOut := runCommand("check", filepath.Join("..", "..", "examples", site))
		assert.Equal(t, exitOK, code, errOut)
		assert.Contains(t, out, "no problems")
	}
}

// TestConfigurationCommands runs the commands against one VM in order: each case builds on the generations
// that the earlier ones published. It guards against lost updates on a conflict and against errors without a
// file and line.
func TestConfigurationCommands(t *testing.T) {
	s := fakestore.New(fakestore.NewOptions())
	f := published.New(published.Options{Self: "e1", Store: s.Client()})
	t.Cleanup(f.Close)
	server := httptest.NewServer(operator.NewHandler(operator.NewOptions(f).WithPlain(true)))
	t.Cleanup(server.Close)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	first := write("first.ini", "[service s]\n[team t]\nshare.s = 0.5\n[batchClass night]\n")
	more := write("more.ini", "[service s]\n[team t]\nshare.s = 0.5\n[batchClass night]\n[batchClass noon]\n")
	other := write("other.ini", "[service s]\n[team t]\nshare.s = 0.5\n[batchClass night]\n[batchClass noon]\nweight = 2\n")
	broken := write("broken.ini", "[service s]\nkind = odd\n[team t]\nshare.x = 2\n")
	inUse := write("inUse.ini", "[team t]\nshare.s = 0.5\n")
	withServer := func(args ...string) []string { return append(args, "-server", server.URL, "-operator", "abebe") }
	for _, tc := range []struct {
		args []string
		code int
		// out and errOut are parts of the output.
		out, errOut string
	}{
		{withServer("apply", first), exitOK, "accepted: generation 1, 3 changes\n", ""},
		{withServer("apply", "-wait", "10s", first), exitOK, "in force: 1 of 1 VMs\n", ""},
		{withServer("apply", first, "-expect", "0"), exitOK, "unchanged: generation 1 already has this content\n", ""},
		{withServer("apply", more, "-expect", "1"), exitOK, "accepted: generation 2, 1 changes\n", ""},
		{withServer("apply", other, "-expect", "1"), exitFailure, "", "batchClass noon: add here, add there\nmothcart apply: conflict: based on generation 1, but generation 2 is published; "},
		{withServer("diff", first), exitOK, "delete batchClass noon\n1 changes from generation 2\n", ""},
		{withServer("get"), exitOK, "# generation 2\n[service s]\n", ""},
		{withServer("get", "-json"), exitOK, `"batchClasses": [`, ""},
		{withServer("audit"), exitOK, "operator=abebe outcome=conflict from=1 generation=2", ""},
		{[]string{"check", broken}, exitFailure, "", broken + ":2: service s: kind: "},
		{[]string{"check", broken}, exitFailure, "", "mothcart check: 3 problems in " + broken + "; fix them and run the command again\n"},
		{withServer("apply", inUse), exitFailure, "", inUse + ":2: team t: share.s: no service is called s"},
		{[]string{"check", filepath.Join(dir, "gone")}, exitUsage, "", "mothcart check: read configuration: "},
		{withServer("apply", first, "-expect", "x"), exitUsage, "", `mothcart apply: invalid value "x" for flag -expect`},
		{[]string{"apply", first, "-server", "http://127.0.0.1:1"}, exitFailure, "", "apply the same files again"},
		{[]string{"get", "-server", server.URL, "-operator", ""}, exitFailure, "", "answer 401: no operator"},
	} {
		code, out, errOut := runCommand(tc.args...)
		assert.Equal(t, tc.code, code, "%v: %s%s", tc.args, out, errOut)
		assert.Contains(t, out, tc.out, "%v", tc.args)
		assert.Contains(t, errOut, tc.errOut, "%v", tc.args)
	}
}

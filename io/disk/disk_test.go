package disk

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

type note struct {
	Text string `msgpack:"t"`
}

// Guards against a Save that does not replace the previous value or leaves temporary files in the folder.
func TestSaveThenLoad(t *testing.T) {
	dir := t.TempDir()
	var got note
	found, err := Load(dir, "n", &got)
	require.NoError(t, err)
	require.False(t, found)
	for _, text := range []string{"first", "second"} {
		require.NoError(t, Save(dir, "n", note{Text: text}))
		found, err = Load(dir, "n", &got)
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, note{Text: text}, got)
	}
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, files, 1, "no temporary file remains")
}

// Guards against a value that is loaded from a damaged file, as a crash or a fault of the disk may leave it.
func TestLoadRejectsDamagedFile(t *testing.T) {
	for _, tc := range []struct {
		name   string
		damage func(b []byte) []byte
	}{
		{"empty", func([]byte) []byte { return nil }},
		{"truncated", func(b []byte) []byte { return b[:len(b)-1] }},
		{"flipped bit", func(b []byte) []byte { b[len(b)/2] ^= 1; return b }},
		{"another file", func([]byte) []byte { return []byte("not a sealed file at all") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, Save(dir, "n", note{Text: "first"}))
			path := filepath.Join(dir, "n")
			b, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, tc.damage(b), mode))
			var got note
			found, err := Load(dir, "n", &got)
			require.Error(t, err)
			require.False(t, found)
		})
	}
}

// Without a data folder Load finds no value and does not fail; Save into a missing folder fails.
func TestMissingFolder(t *testing.T) {
	found, err := Load("", "n", &note{})
	require.NoError(t, err)
	require.False(t, found)
	require.Error(t, Save(filepath.Join(t.TempDir(), "gone"), "n", note{}))
}

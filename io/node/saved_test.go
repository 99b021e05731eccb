package node

import (
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/home"
	"mothcart/io/object"
)

func TestSavedSiteStateIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		want := home.SiteState{
			Views: map[string]object.Change{"colours": {Listed: true, At: 7, Objects: []object.Object{{Name: "red", Revision: 5, Spec: []byte(`{"a":1}`)}}}},
			Home:  home.Announcement{Term: 3, VM: "s1", Address: "10.0.0.1:7000"},
		}
		s := newSaver(dir, siteStateFile, func() any { return want }, zerolog.Nop())
		s.changed()
		s.changed()
		time.Sleep(saveInterval)
		synctest.Wait()
		s.close()
		require.Equal(t, want, load[home.SiteState](dir, siteStateFile, zerolog.Nop()))
	})
}

// A failed write to disk has no effect but a missing file.
func TestFullDiskLosesOnlyTheFile(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gone")
	s := newSaver(dir, progressFile, func() any { return "some" }, zerolog.Nop())
	s.save()
	s.close()
	require.Empty(t, load[string](dir, progressFile, zerolog.Nop()))
}

package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Two changes of the same base that concern the same or related objects must conflict. If they were merged,
// one change would be lost or an invalid set would be published.
func TestRebaseRefusesOverlappingChanges(t *testing.T) {
	base := parseValid(t, validFile)
	edit := func(oldNew ...string) Set { return parseValid(t, strings.NewReplacer(oldNew...).Replace(validFile)) }
	for _, tc := range []struct {
		name         string
		mine, theirs Set
		want         []string
	}{
		{"different objects", edit("window = 8h", "window = 9h"), edit("memoryMiB = 500", "memoryMiB = 600"), nil},
		{"the same object", edit("window = 8h", "window = 9h"), edit("window = 8h", "window = 7h"), []string{
			"batchClass night: update here, update there"}},
		{"an object that the other refers to", edit("memoryMiB = 500", "memoryMiB = 600"),
			edit("[model scribe]\n", "[model scribe]\nversion = 2\n"), []string{
				"adapter amharic: refers to model scribe, update there"}},
		{"shares that add up to too much", edit("share.rota-desk = 0.25", "share.rota-desk = 0.9"),
			edit("[team coordinators]\n", "[team coordinators]\nshare.rota-desk = 0.7\n"), []string{
				"team deacons: merged: the shares of service rota-desk add up to 160%, at most 100% are allowed"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			merged, conflicts := Rebase(base, tc.mine, tc.theirs)
			var got []string
			for _, c := range conflicts {
				got = append(got, c.String())
			}
			require.Equal(t, tc.want, got)
			if tc.want == nil {
				assert.ElementsMatch(t, append(Diff(base, tc.mine), Diff(base, tc.theirs)...), Diff(base, merged))
			}
		})
	}
}

// Guards against the deletion of an object that others refer to, and against an error that does not list them.
func TestDeletionOfAnObjectInUseNamesItsUsers(t *testing.T) {
	base := parseValid(t, validFile)
	next, problems := Parse([]File{{Name: "f", Data: []byte(strings.Replace(validFile, "[model scribe]\n", "[model other]\n", 1))}})
	require.Empty(t, problems)
	got := CheckChange(base, next)
	require.Len(t, got, 1)
	assert.Equal(t, "model scribe: can't be deleted while others refer to it: adapter amharic, rule canary", got[0].String())
}

// Guards against a list of changes that omits an object or does not show which fields changed and how.
func TestDiffNamesFields(t *testing.T) {
	base := parseValid(t, validFile)
	next := parseValid(t, strings.NewReplacer("share.rota-desk = 0.25\n", "", "window = 8h", "window = 24h", "[adapter amharic]", "[adapter oromo]").Replace(validFile))
	var got []string
	for _, c := range Diff(base, next) {
		got = append(got, c.String())
	}
	assert.Equal(t, []string{
		"delete adapter amharic", "add adapter oromo",
		`update team deacons: share.rota-desk "0.25" to ""`,
		`update batchClass night: window "8h0m0s" to "24h0m0s"`,
	}, got)
}

// Guards against a panic on malformed input, and against a valid set that changes when it is formatted and
// parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[service s]\nkind = \"x\n[\n=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, problems := Parse([]File{{Name: "f", Data: data}})
		if len(problems) > 0 || len(Check(set)) > 0 {
			return
		}
		again, problems := Parse([]File{{Name: "f", Data: Format(set)}})
		require.Empty(t, problems)
		require.Empty(t, Diff(set, again))
	})
}

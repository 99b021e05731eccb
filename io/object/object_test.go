package object

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/store"
)

func named(name string, revision Revision) Object { return Object{Name: name, Revision: revision} }

func TestMirrorAppliesEachObjectByRevision(t *testing.T) {
	m := NewMirror()
	require.False(t, m.Listed())
	for _, step := range []struct {
		name   string
		change Change
		want   []Event
	}{
		{"listing", Change{Listed: true, At: 5, Objects: []Object{named("a", 3), named("b", 4)}}, []Event{{Object: named("a", 3)}, {Object: named("b", 4)}}},
		{"same listing again", Change{Listed: true, At: 5, Objects: []Object{named("a", 3), named("b", 4)}}, nil},
		{"event", Change{Events: []Event{{Object: named("a", 7)}}}, []Event{{Object: named("a", 7)}}},
		{"same event of another source", Change{Events: []Event{{Object: named("a", 7)}}}, nil},
		{"event from before the listing", Change{Events: []Event{{Object: named("b", 2)}}}, nil},
		{"older listing", Change{Listed: true, At: 4}, nil},
		{"listing without an object that is newer", Change{Listed: true, At: 6, Objects: []Object{named("b", 4)}}, nil},
		{"listing without an object", Change{Listed: true, At: 8, Objects: []Object{named("a", 7)}}, []Event{{Object: named("b", 4), Deleted: true}}},
		{"late event of the deleted object", Change{Events: []Event{{Object: named("b", 4)}}}, nil},
		{"late event of an object that was deleted before the listing", Change{Events: []Event{{Object: named("c", 8)}}}, nil},
		{"removal", Change{Events: []Event{{Object: named("a", 9), Deleted: true}}}, []Event{{Object: named("a", 9), Deleted: true}}},
		{"removal again", Change{Events: []Event{{Object: named("a", 9), Deleted: true}}}, nil},
		{"created again", Change{Events: []Event{{Object: named("a", 10)}}}, []Event{{Object: named("a", 10)}}},
	} {
		require.Equal(t, step.want, m.Apply(step.change), step.name)
	}
	require.Equal(t, []Object{named("a", 10)}, m.Snapshot().Objects)
}

// Guards against an object that comes back for ever, since its removal came before it, from another source.
func TestRemovalBeforeItsObject(t *testing.T) {
	for _, tc := range []struct {
		name  string
		later Change
		want  []Object
	}{
		{"event", Change{Events: []Event{{Object: named("a", 6)}}}, nil},
		{"listing", Change{Listed: true, At: 6, Objects: []Object{named("a", 6)}}, nil},
		{"removal with the object's revision", Change{Events: []Event{{Object: named("a", 7)}}}, nil},
		{"created again", Change{Events: []Event{{Object: named("a", 8)}}}, []Object{named("a", 8)}},
	} {
		m := NewMirror()
		m.Apply(Change{Listed: true, At: 5})
		require.Empty(t, m.Apply(Change{Events: []Event{{Object: named("a", 7), Deleted: true}}}), tc.name)
		m.Apply(tc.later)
		require.Equal(t, tc.want, m.Snapshot().Objects, tc.name)
		m.Apply(Change{Listed: true, At: 9})
		require.Empty(t, m.deletedAt, "the listing covers it")
	}
}

func TestCreateConfirmed(t *testing.T) {
	spec := map[string]int{"x": 1}
	same := Object{Name: "j", Spec: json.RawMessage(`{ "x": 1 }`)}
	for _, tc := range []struct {
		name    string
		answers []error
		exists  Object
		want    error
	}{
		{"written", []error{nil}, Object{}, nil},
		{"answer lost, written", []error{store.ErrUnknown, store.ErrConflict}, same, nil},
		{"answer lost, not written", []error{store.ErrUnknown, nil}, Object{}, nil},
		{"exists with another content", []error{store.ErrConflict}, Object{Spec: json.RawMessage(`{"x":2}`)}, store.ErrConflict},
		{"never available", []error{store.ErrUnavailable}, Object{}, store.ErrUnavailable},
		{"one answer lost, then not available", []error{store.ErrUnknown, store.ErrUnavailable}, Object{}, store.ErrUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				c := Client{
					Create: func(context.Context, string, string, any) (Object, error) {
						err := tc.answers[min(calls, len(tc.answers)-1)]
						calls++
						return tc.exists, err
					},
					Get: func(context.Context, string, string) (Object, error) { return Object{}, store.ErrUnavailable },
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := CreateConfirmed(ctx, c, "jobs", "j", spec)
				require.ErrorIs(t, err, tc.want)
				if tc.want == nil {
					require.NoError(t, err)
				}
				if tc.want != store.ErrUnavailable {
					require.NotErrorIs(t, err, store.ErrUnavailable, "a write that may have had effect is not one without")
				}
			})
		})
	}
}

// Guards against a creation whose outcome stays unknown, or counts as a conflict with another content, since the answer that the
// object exists doesn't hold it. Each line is one outcome of the read.
func TestCreateConfirmedReadsWhatExists(t *testing.T) {
	object := func(spec string) Object { return Object{Name: "j", Revision: 3, Spec: json.RawMessage(spec)} }
	type read struct {
		o   Object
		err error
	}
	for _, tc := range []struct {
		name    string
		answers []error
		reads   []read
		want    error
		found   string
	}{
		{"own content", []error{store.ErrUnknown, store.ErrConflict}, []read{{object(`{"x":1,"y":"<"}`), nil}}, nil, `{"x":1,"y":"<"}`},
		{"own content, encoded in another way", []error{store.ErrConflict}, []read{{object(`{ "y":"\u003c", "x":1 }`), nil}}, nil, `{ "y":"\u003c", "x":1 }`},
		{"another content", []error{store.ErrConflict}, []read{{object(`{"x":2}`), nil}}, store.ErrConflict, `{"x":2}`},
		{"read that fails, then own content", []error{store.ErrConflict}, []read{{Object{}, store.ErrUnavailable}, {object(`{"x":1,"y":"<"}`), nil}}, nil, `{"x":1,"y":"<"}`},
		{"reads that fail", []error{store.ErrConflict}, []read{{Object{}, store.ErrUnavailable}}, store.ErrUnknown, ""},
		{"gone, then created", []error{store.ErrConflict, nil}, []read{{Object{}, store.ErrNotFound}}, nil, ""},
		{"gone again and again", []error{store.ErrConflict}, []read{{Object{}, store.ErrNotFound}}, store.ErrUnavailable, ""},
		{"no answer, written", []error{store.ErrUnknown}, []read{{object(`{"x":1,"y":"<"}`), nil}}, nil, `{"x":1,"y":"<"}`},
		{"no answer, another content", []error{store.ErrUnknown}, []read{{object(`{"x":2}`), nil}}, store.ErrConflict, `{"x":2}`},
		{"no answer, read that fails", []error{store.ErrUnknown}, []read{{Object{}, store.ErrUnavailable}}, store.ErrUnknown, ""},
		{"no answer, not there", []error{store.ErrUnknown, nil}, []read{{Object{}, store.ErrNotFound}}, nil, ""},
		{"no answer, never there", []error{store.ErrUnknown}, []read{{Object{}, store.ErrNotFound}}, store.ErrUnknown, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				creates, reads := 0, 0
				c := Client{
					Create: func(context.Context, string, string, any) (Object, error) {
						creates++
						return Object{}, tc.answers[min(creates, len(tc.answers))-1]
					},
					Get: func(context.Context, string, string) (Object, error) {
						reads++
						r := tc.reads[min(reads, len(tc.reads))-1]
						return r.o, r.err
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				o, err := CreateConfirmed(ctx, c, "jobs", "j", map[string]any{"x": 1, "y": "<"})
				require.ErrorIs(t, err, tc.want)
				if tc.want == nil {
					require.NoError(t, err)
				}
				require.Equal(t, tc.found, string(o.Spec))
				if tc.want == store.ErrUnknown {
					require.NotErrorIs(t, err, store.ErrConflict)
					require.NotErrorIs(t, err, store.ErrUnavailable)
				}
				require.LessOrEqual(t, creates, 10)
			})
		})
	}
}

// Guards against a listing that never ends because the service sends the same page again.
func TestListingThatRepeatsItsPageFails(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pages [][]Object
		err   error
		want  int
	}{
		{"pages that go on", [][]Object{{{Name: "a"}, {Name: "b"}}, {{Name: "c"}}}, nil, 3},
		{"the same page again", [][]Object{{{Name: "a"}, {Name: "b"}}, {{Name: "a"}, {Name: "b"}}, {{Name: "c"}}}, store.ErrUnavailable, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			calls := 0
			c := Client{List: func(context.Context, string, string) ([]Object, Revision, bool, error) {
				calls++
				return tc.pages[calls-1], 1, calls < len(tc.pages), nil
			}}
			all, _, err := ListAll(t.Context(), c, "jobs")
			require.ErrorIs(t, err, tc.err)
			require.Len(t, all, tc.want)
		})
	}
}

// Guards against hundreds of writers that each call an object service twenty times a second while it refuses calls.
func TestRefusedWritesAreRepeatedLessAndLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, backAt := 0, time.Now().Add(5*time.Second)
		c := Client{Create: func(context.Context, string, string, any) (Object, error) {
			calls++
			if time.Now().Before(backAt) {
				return Object{}, store.ErrUnavailable
			}
			return Object{}, nil
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		_, err := CreateConfirmed(ctx, c, "jobs", "j", 1)
		require.NoError(t, err)
		require.LessOrEqual(t, calls, 25, "five a second")
		require.Less(t, time.Since(backAt), lastConfirmPause)
	})
}

package published

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/config"
	"mothcart/core/publication"
	fakestore "mothcart/fake/store"
	"mothcart/io/store"
)

// classSet returns a configuration with one batch class for each name.
func classSet(t *testing.T, names ...string) config.Set {
	t.Helper()
	text := "[service rota-scribe]\n[team deacons]\nshare.rota-scribe = 0.5\n"
	for _, name := range names {
		text += fmt.Sprintf("[batchClass %s]\n", name)
	}
	set, problems := config.Parse([]config.File{{Name: "site.ini", Data: []byte(text)}})
	require.Empty(t, problems)
	return set
}

func newStore() *fakestore.Store {
	return fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
}

func start(t *testing.T, opts Options) *Follower {
	t.Helper()
	f := New(opts)
	t.Cleanup(f.Close)
	return f
}

func apply(t *testing.T, f *Follower, set config.Set, expect *uint64) Result {
	t.Helper()
	result, err := f.Apply(context.Background(), time.Now(), "abebe", set, expect)
	require.NoError(t, err)
	return result
}

func TestApplyPublishesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f := start(t, Options{Self: "e1", Store: s.Client()})
		changed := f.Changed()
		result := apply(t, f, classSet(t, "night"), nil)
		assert.Equal(t, publication.OutcomeAccepted, result.Outcome)
		assert.EqualValues(t, 1, result.Generation)
		assert.EqualValues(t, 1, f.Current().Generation)
		<-changed
		_, ok := f.Current().BatchClass("night")
		assert.True(t, ok)
		again := apply(t, f, classSet(t, "night"), nil)
		assert.Equal(t, publication.OutcomeUnchanged, again.Outcome)
		assert.EqualValues(t, 1, again.Generation)
	})
}

func TestRefusalListsProblemsAndStaysInTheTrail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f := start(t, Options{Self: "e1", Store: s.Client()})
		apply(t, f, classSet(t, "night"), nil)
		broken := classSet(t, "night")
		broken.Services = nil
		result := apply(t, f, broken, nil)
		assert.Equal(t, publication.OutcomeRefused, result.Outcome)
		require.Len(t, result.Problems, 1)
		assert.Equal(t, "site.ini:1: service rota-scribe: can't be deleted while others refer to it: team deacons", result.Problems[0].String())
		trail, err := f.Audit(context.Background(), 10)
		require.NoError(t, err)
		require.Len(t, trail, 2)
		assert.Equal(t, publication.OutcomeRefused, trail[0].Outcome)
		assert.Equal(t, []string{result.Problems[0].String()}, trail[0].Reasons)
		assert.EqualValues(t, 1, f.Current().Generation)
	})
}

// Many refused applies in a short time must not cause one write each, and none may be missing in the audit
// trail: those above maxRefusals are counted in Dropped.
func TestManyRefusalsAreRecordedWithFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f := start(t, Options{Self: "e1", Store: s.Client()})
		broken := config.Set{Models: []config.Model{{Name: "m", Service: "gone", Version: "1"}}}
		const refused = maxRefusals + 11
		before := s.Calls().Writes
		for range refused {
			assert.Equal(t, publication.OutcomeRefused, apply(t, f, broken, nil).Outcome)
		}
		time.Sleep(5 * time.Second)
		assert.LessOrEqual(t, s.Calls().Writes-before, uint64(5))
		trail, err := f.Audit(context.Background(), 200)
		require.NoError(t, err)
		dropped := 0
		for _, e := range trail {
			assert.EqualValues(t, 0, e.Generation)
			dropped += e.Dropped
		}
		assert.Equal(t, refused, len(trail)+dropped)
		assert.EqualValues(t, 1, apply(t, f, classSet(t, "night"), nil).Generation)
	})
}

func TestRacingAppliesMergeOrConflict(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second []string
		edit          func(*config.Set)
		outcome       string
		conflict      string
	}{
		{"different objects", []string{"night", "noon"}, []string{"night", "dawn"}, nil, publication.OutcomeAccepted, ""},
		{"the same new object", []string{"night", "noon"}, []string{"night", "noon"}, func(s *config.Set) { s.BatchClasses[1].Weight = 7 },
			publication.OutcomeConflict, "batchClass noon: add here, add there"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				one := start(t, Options{Self: "e1", Store: s.Client()})
				two := start(t, Options{Self: "e2", Store: s.Client()})
				base := apply(t, one, classSet(t, "night"), nil).Generation
				time.Sleep(3 * time.Second)
				apply(t, one, classSet(t, tc.first...), &base)
				mine := classSet(t, tc.second...)
				if tc.edit != nil {
					tc.edit(&mine)
				}
				result := apply(t, two, mine, &base)
				assert.Equal(t, tc.outcome, result.Outcome)
				assert.EqualValues(t, 1, result.From)
				if tc.conflict != "" {
					require.Len(t, result.Conflicts, 1)
					assert.Equal(t, tc.conflict, result.Conflicts[0].String())
					assert.EqualValues(t, 2, result.Generation)
					return
				}
				assert.True(t, result.Rebased)
				assert.EqualValues(t, 3, result.Generation)
				assert.Len(t, two.Current().Set.BatchClasses, 3)
			})
		})
	}
}

func TestLostAnswersAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f := start(t, Options{Self: "e1", Store: s.Client()})
		s.SetLostAnswerShare(1)
		for i := 1; i <= 30; i++ {
			result := apply(t, f, classSet(t, fmt.Sprintf("c%d", i)), nil)
			assert.Equal(t, publication.OutcomeAccepted, result.Outcome)
			assert.EqualValues(t, i, result.Generation)
		}
		trail, err := f.Audit(context.Background(), 100)
		require.NoError(t, err)
		require.Len(t, trail, 30)
		for i, e := range trail {
			assert.EqualValues(t, 30-i, e.Generation)
		}
	})
}

// An update takes effect but its answer is lost, and another update follows before the first is read back.
// The first must still be reported as accepted.
func TestLostAnswerUnderARacingUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		c := s.Client()
		two := start(t, Options{Self: "e2", Store: s.Client()})
		put := c.Put
		c.Put = func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
			v, err := put(ctx, key, value, expect)
			if key != publication.RootKey || err != nil || v > 3 {
				return v, err
			}
			assert.EqualValues(t, 2, apply(t, two, classSet(t, "night", "dawn"), nil).Generation)
			return 0, store.ErrUnknown
		}
		one := start(t, Options{Self: "e1", Store: c})
		result := apply(t, one, classSet(t, "night"), nil)
		assert.Equal(t, publication.OutcomeAccepted, result.Outcome)
		assert.EqualValues(t, 1, result.Generation)
		time.Sleep(5 * time.Second)
		assert.EqualValues(t, 2, one.Current().Generation)
		trail, err := one.Audit(context.Background(), 10)
		require.NoError(t, err)
		assert.Len(t, trail, 2)
	})
}

// An apply in an outage must report that nothing was published. If the outage begins after the update was
// sent, it must report that the outcome is unknown, and the entry ID in the Result must be in the audit
// trail later.
func TestOutageAndUnknownOutcomeAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		c := s.Client()
		f := start(t, Options{Self: "e1", Store: c})
		s.SetOutage(true)
		_, err := f.Apply(context.Background(), time.Now(), "abebe", classSet(t, "night"), nil)
		require.ErrorIs(t, err, ErrUnavailable)
		s.SetOutage(false)

		put := c.Put
		c.Put = func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
			v, err := put(ctx, key, value, expect)
			if key == publication.RootKey {
				s.SetOutage(true)
				return 0, store.ErrUnknown
			}
			return v, err
		}
		g := start(t, Options{Self: "e2", Store: c})
		result, err := g.Apply(context.Background(), time.Now(), "abebe", classSet(t, "night"), nil)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		s.SetOutage(false)
		time.Sleep(5 * time.Second)
		trail, err := g.Audit(context.Background(), 10)
		require.NoError(t, err)
		require.Len(t, trail, 1)
		assert.Equal(t, result.ID, trail[0].ID)
		assert.EqualValues(t, 1, g.Current().Generation)
		assert.EqualValues(t, 1, f.Current().Generation)
	})
}

func TestBlocksOfOldGenerationsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f := start(t, Options{Self: "e1", Store: s.Client()})
		for i := range 8 {
			apply(t, f, classSet(t, fmt.Sprintf("c%d", i)), nil)
			time.Sleep(time.Second)
		}
		listed, err := s.Client().List(context.Background(), publication.BlockPrefix, "", 100)
		require.NoError(t, err)
		var keys []string
		for _, o := range listed {
			keys = append(keys, o.Key)
		}
		assert.Len(t, keys, 2, strings.Join(keys, "\n"))
	})
}

package origin

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestVersionOfAStream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(o *Origins)
		at     time.Duration
		want   string
	}{
		{"recorded", func(*Origins) {}, 0, "v1"},
		{"after its lifetime", func(*Origins) {}, Lifetime, "v1"},
		{"after twice its lifetime", func(*Origins) {}, 2 * Lifetime, ""},
		{"after a long time without records", func(o *Origins) { o.Record(start.Add(time.Hour), "other", "v1") }, time.Hour, ""},
		{"recorded again", func(o *Origins) { o.Record(start, "a", "v2") }, 0, "v2"},
		{"recorded again in the next generation", func(o *Origins) { o.Record(start.Add(Lifetime), "a", "v2") }, Lifetime, "v2"},
		{"other versions come and go", func(o *Origins) {
			for i := range 100 {
				now := start.Add(time.Duration(i) * Lifetime)
				o.Record(now, fmt.Sprint(i), fmt.Sprintf("v%d", i))
				o.Record(now, "a", "v1")
			}
			require.Less(t, len(o.versions), 5)
		}, 99 * Lifetime, "v1"},
		{"filled by another node", func(o *Origins) { o.Import(start, recorded("a", "v2"), false) }, 0, "v1"},
		{"replaced by another node", func(o *Origins) { o.Import(start, recorded("a", "v2"), true) }, 0, "v2"},
		{"no version", func(o *Origins) { o.Record(start, "a", "") }, 0, "v1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := New()
			o.Record(start, "a", "v1")
			tc.change(o)
			version, ok := o.Version(start.Add(tc.at), "a")
			require.Equal(t, tc.want, version)
			require.Equal(t, tc.want != "", ok)
		})
	}
	_, ok := New().Version(start, "")
	require.False(t, ok)
}

func recorded(id, version string) Records {
	o := New()
	o.Record(start, id, version)
	return o.Export(start, 1)[0]
}

func TestExportAndImport(t *testing.T) {
	o := New()
	const streams = 25
	for i := range streams {
		o.Record(start.Add(time.Duration(i)*time.Second), fmt.Sprint(i), fmt.Sprintf("v%d", i%3))
	}
	groups := o.Export(start.Add(streams*time.Second), 10)
	require.Len(t, groups, 3)
	other := New()
	for _, g := range groups {
		other.Import(start, g, false)
	}
	for i := range streams {
		version, ok := other.Version(start, fmt.Sprint(i))
		require.True(t, ok)
		require.Equal(t, fmt.Sprintf("v%d", i%3), version)
	}
	for _, bad := range []Records{
		{Streams: []uint64{1}},
		{Streams: []uint64{1}, Began: []uint16{0}},
		{Streams: []uint64{1}, Began: []uint16{7}, Versions: []string{"v1"}},
	} {
		before := other.Len()
		other.Import(start, bad, true)
		require.Equal(t, before, other.Len(), "not well formed")
	}
}

func TestRecordsAreBounded(t *testing.T) {
	o := New()
	for i := range 3 * maxRecords {
		o.Record(start, fmt.Sprint(i), "v1")
	}
	require.LessOrEqual(t, o.Len(), 2*maxRecords)
	_, ok := o.Version(start, fmt.Sprint(3*maxRecords-1))
	require.True(t, ok, "the latest are kept")
}

// BenchmarkRecord measures the time and the memory of a record among those of the two-year peak.
func BenchmarkRecord(b *testing.B) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	o := New()
	const streams = 400_000
	ids := make([]string, streams)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, id := range ids {
		o.Record(start, id, "v1")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		o.Record(start, ids[i%streams], "v2")
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/streams, "B/record")
	runtime.KeepAlive(o)
}

package home

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothcart/core/batch"
)

// A standby that gets each notice has what the home has, whatever the attempts bring and wherever the
// notices come between.
func TestCheckpointsFollowTheRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &run{job: "j", item: batch.Item{ID: "i"}}
		var kept Checkpoints
		var want []string
		whole := true
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // an attempt begins
				if r.got == nil {
					r.got = new(stream)
				}
			case 1: // an event arrives
				if r.got != nil {
					text := strings.Repeat("x", rapid.IntRange(0, 3).Draw(t, "length"))
					want = append(want, text)
					if r.got.events > 0 {
						r.got.text.WriteByte('\n')
					}
					r.got.text.WriteString(text)
					r.got.events++
					r.got.lastEventID = fmt.Sprint(len(want))
				}
			case 2: // the attempt ends
				if r.got != nil {
					out := itemOutcome{Text: r.got.text.String(), Events: r.got.events, LastEventID: r.got.lastEventID}
					r.got = nil
					r.take(out, 0)
				}
			case 3: // a notice is sent
				if d, changed := r.delta(); changed {
					kept.take(checkpointNotice{Term: 1, Whole: whole, Items: []itemDelta{d}})
					whole = false
				}
			}
			p := r.progress(0)
			require.Equal(t, strings.Join(want, "\n"), p.Text)
			require.Equal(t, len(want), p.Events)
		}
		if d, changed := r.delta(); changed {
			kept.take(checkpointNotice{Term: 1, Whole: whole, Items: []itemDelta{d}})
		}
		if items := kept.Items(); len(items) > 0 {
			require.Equal(t, r.progress(0).Text, items[0].Text)
		}
	})
}

// A notice that was lost costs the progress of its items, never its order.
func TestLostNoticeIsNoticed(t *testing.T) {
	var c Checkpoints
	delta := func(from int, text string) checkpointNotice {
		return checkpointNotice{Term: 2, Items: []itemDelta{{ItemProgress: ItemProgress{Job: "j", Item: "i", Text: text, Events: 1}, From: from}}}
	}
	c.take(delta(0, "a"))
	c.take(delta(3, "d"))
	require.Empty(t, c.Items())
	c.take(delta(5, "e"))
	require.Empty(t, c.Items())
	c.take(delta(0, "abc"))
	require.Equal(t, "abc", c.Items()[0].Text)
	older := delta(3, "d")
	older.Term = 1
	c.take(older)
	require.Equal(t, "abc", c.Items()[0].Text, "a home of an earlier term is not heard")
	c.take(checkpointNotice{Term: 2, Over: [][2]string{{"j", "i"}}})
	require.Empty(t, c.Items())
}

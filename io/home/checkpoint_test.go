package home

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothcart/core/batch"
)

// player plays a run and its standby.
type player struct {
	run   *run
	kept  *Checkpoints
	whole bool
	// want are the data of all events.
	want []string
}

func (p *player) begin() {
	if p.run.got == nil {
		p.run.got = new(stream)
	}
}

func (p *player) event(text string) {
	got := p.run.got
	if got == nil {
		return
	}
	p.want = append(p.want, text)
	if got.events > 0 {
		got.text.WriteByte('\n')
	}
	got.text.WriteString(text)
	got.events++
	got.lastEventID = fmt.Sprint(len(p.want))
}

func (p *player) end() {
	got := p.run.got
	if got == nil {
		return
	}
	p.run.got = nil
	p.run.take(itemOutcome{Text: got.text.String(), Events: got.events, LastEventID: got.lastEventID}, 0)
}

func (p *player) notify() {
	d, changed := p.run.delta()
	if !changed {
		return
	}
	p.kept.take(checkpointNotice{Term: 1, Whole: !p.whole, Items: []itemDelta{d}})
	p.whole = true
}

// A standby that gets each notice has what the home has, whatever the attempts bring and wherever the
// notices come between.
func TestCheckpointsFollowTheRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &player{run: &run{job: "j", item: batch.Item{ID: "i"}}, kept: NewCheckpoints(nil, func() {})}
		steps := []func(){
			p.begin, p.end, p.notify,
			func() { p.event(strings.Repeat("x", rapid.IntRange(0, 3).Draw(t, "length"))) },
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			made := p.run.progress(0)
			require.Equal(t, strings.Join(p.want, "\n"), made.Text)
			require.Equal(t, len(p.want), made.Events)
		}
		p.notify()
		for _, item := range p.kept.Items() {
			require.Equal(t, strings.Join(p.want, "\n"), item.Text)
			require.Equal(t, p.kept.Items(), NewCheckpoints(p.kept.Items(), nil).Items(), "after a restart")
		}
	})
}

// A notice that was lost costs the progress of its items, never its order.
func TestLostNoticeIsNoticed(t *testing.T) {
	c := NewCheckpoints(nil, func() {})
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

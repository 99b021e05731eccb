package home

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothcart/core/batch"
	"mothcart/core/budget"
	"mothcart/io/msgframe"
)

// checkpointModel drives a run and its standby.
type checkpointModel struct {
	run      *run
	standby  *Checkpoints
	sentFull bool
	// want holds the data of all events.
	want []string
}

func (p *checkpointModel) startAttempt() {
	if p.run.received == nil {
		p.run.received = new(stream)
	}
}

func (p *checkpointModel) receiveEvent(text string) {
	got := p.run.received
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

func (p *checkpointModel) endAttempt() {
	got := p.run.received
	if got == nil {
		return
	}
	p.run.received = nil
	p.run.addProgress(itemOutcome{Text: got.text.String(), Events: got.events, LastEventID: got.lastEventID}, 0)
}

func (p *checkpointModel) sendNotice() {
	d, changed := p.run.delta()
	if !changed {
		return
	}
	p.standby.apply(checkpointNotice{Term: 1, Full: !p.sentFull, Items: []itemDelta{d}})
	p.sentFull = true
}

// A standby that receives every notice has the same progress as the home, whatever events the attempts
// deliver and whenever the notices are sent. Otherwise the next home would resume items at a wrong event or
// with a text that lacks a part.
func TestCheckpointsMatchRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &checkpointModel{run: newRun(new(budget.Texts), "j", batch.Item{ID: "i"}), standby: NewCheckpoints(nil, 0, func() {})}
		steps := []func(){
			p.startAttempt, p.endAttempt, p.sendNotice,
			func() { p.receiveEvent(strings.Repeat("x", rapid.IntRange(0, 3).Draw(t, "length"))) },
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			made := p.run.progress(0)
			require.Equal(t, strings.Join(p.want, "\n"), made.Text)
			require.Equal(t, len(p.want), made.Events)
		}
		p.sendNotice()
		for _, item := range p.standby.Items() {
			require.Equal(t, strings.Join(p.want, "\n"), item.Text)
			require.Equal(t, p.standby.Items(), NewCheckpoints(p.standby.Items(), 0, nil).Items(), "after a restart")
		}
	})
}

// After a lost notice the standby drops the progress of its items and never joins texts with a gap.
func TestLostNoticeDropsProgress(t *testing.T) {
	c := NewCheckpoints(nil, 0, func() {})
	delta := func(from int, text string) checkpointNotice {
		return checkpointNotice{Term: 2, Items: []itemDelta{{ItemProgress: ItemProgress{Job: "j", Item: "i", Text: text, Events: 1}, From: from}}}
	}
	c.apply(delta(0, "a"))
	c.apply(delta(3, "d"))
	require.Empty(t, c.Items())
	c.apply(delta(5, "e"))
	require.Empty(t, c.Items())
	c.apply(delta(0, "abc"))
	require.Equal(t, "abc", c.Items()[0].Text)
	older := delta(3, "d")
	older.Term = 1
	c.apply(older)
	require.Equal(t, "abc", c.Items()[0].Text, "a notice of an earlier term is ignored")
	c.apply(checkpointNotice{Term: 2, Ended: [][2]string{{"j", "i"}}})
	require.Empty(t, c.Items())
}

// Guards against standbys whose connections end, together with the items that they run, since the progress of all items is larger
// than a frame may be: results that pile up in an outage are enough.
func TestCheckpointNoticesFitIntoFrames(t *testing.T) {
	const maxFrame = 4 << 20
	for _, tc := range []struct {
		name        string
		items, text int
	}{
		{"none", 0, 0}, {"small ones", 300, 10}, {"results of an outage", 200, 24 << 10}, {"long ones", 30, 500 << 10}, {"one", 1, 1 << 20}, {"many without text", 20000, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := checkpointNotice{Term: 3, Full: true, Ended: [][2]string{{"j", "old"}}}
			for i := range tc.items {
				p := ItemProgress{Job: "7c41e09b52d6a3f8", Item: fmt.Sprint("item", i), Text: strings.Repeat("x", tc.text), Events: 7, LastEventID: "7", Version: "v1"}
				n.Items = append(n.Items, itemDelta{ItemProgress: p})
			}
			whole, parts := NewCheckpoints(nil, 0, func() {}), NewCheckpoints(nil, 0, func() {})
			whole.apply(n)
			for _, part := range n.split(maxProgressBytes) {
				b, err := msgframe.EncodeBody(part)
				require.NoError(t, err)
				require.Less(t, len(b), maxFrame)
				parts.apply(part)
			}
			require.Equal(t, byItem(whole.Items()), byItem(parts.Items()))
			fits, left := withinMessage(whole.Items())
			require.Equal(t, tc.items, len(fits)+left)
			b, err := msgframe.EncodeBody(handoverAnswer{Items: fits})
			require.NoError(t, err)
			require.Less(t, len(b), maxFrame)
		})
	}
}

func byItem(items []ItemProgress) map[string]ItemProgress {
	out := make(map[string]ItemProgress, len(items))
	for _, p := range items {
		out[p.Item] = p
	}
	return out
}

// Guards against a finished item that runs again though there was room for its result.
func TestFinishedItemsGoFirstIntoAMessage(t *testing.T) {
	var items []ItemProgress
	for i := range 100 {
		p := ItemProgress{Item: fmt.Sprint(i), Text: strings.Repeat("x", 50<<10)}
		if i%10 == 9 {
			p.State = batch.Completed
		}
		items = append(items, p)
	}
	fits, left := withinMessage(items)
	require.Positive(t, left)
	for i := range 10 {
		require.Equal(t, batch.Completed, fits[i].State)
	}
}

// Package explain tells the story of one request, job or item from the logs of any number of nodes.
//
// It reads lines of JSON objects as the nodes write them, with or without text before the object, and
// skips all others. An ID selects the events that name it as request, job or item, the refusals of
// slots that the home logged for the request, and for a job or item what changed the view of the
// nodes meanwhile: the home, the object service, the configuration.
//
// Usage:
//
//	events, skipped, err := explain.Read(file)
//	for _, e := range explain.Story(events, "9c41d07be2a35f68") {
//		fmt.Println(e)
//	}
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Event is one line of a log.
type Event struct {
	Time  time.Time
	Node  string
	Name  string
	Level string
	// Fields holds the rest of the line.
	Fields map[string]any
	// order is the place of the line in its log.
	order int
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read reads the events of one log, and the number of lines that hold none.
func Read(r io.Reader) ([]Event, int, error) {
	var events []Event
	skipped := 0
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), maxLineBytes)
	for lines.Scan() {
		e, ok := parse(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		e.order = len(events)
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return events, skipped, merry.Errorf("read log: %w", err)
	}
	return events, skipped, nil
}

func parse(line []byte) (Event, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Event{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(line[start:]))
	d.UseNumber() // an ID or a revision must not turn into a float
	if d.Decode(&fields) != nil {
		return Event{}, false
	}
	e := Event{Fields: fields}
	for name, dst := range map[string]*string{"node": &e.Node, "message": &e.Name, "level": &e.Level} {
		*dst, _ = fields[name].(string)
		delete(fields, name)
	}
	at, _ := fields["time"].(string)
	delete(fields, "time")
	var err error
	if e.Time, err = time.Parse(time.RFC3339Nano, at); err != nil || e.Name == "" {
		return Event{}, false
	}
	return e, true
}

// idFields are the fields that name what an event is about.
var idFields = []string{"request", "job", "item"}

func (e Event) names(id string) bool {
	return slices.ContainsFunc(idFields, func(f string) bool { return e.Fields[f] == id })
}

func (e Event) text(field string) string {
	if e.Fields[field] == nil {
		return ""
	}
	return fmt.Sprint(e.Fields[field])
}

// background are the events that change what a node believes; those between the first and the last
// event of a story belong to it.
var background = map[string]bool{
	"homeLost": true, "homeRegained": true, "homeAnnounced": true, "leaseTaken": true, "leaseLost": true, "leaseGivenBack": true,
	"objectServiceLost": true, "objectServiceRegained": true, "watchHistoryGone": true, "configurationInForce": true,
	"homeReachedByRelay": true, "drainStarted": true, "stopAsked": true, "entryStarted": true, "homeNodeStarted": true,
}

// Story returns the events of a request, job or item in causal order, with what changed meanwhile on
// the nodes that took part.
func Story(events []Event, id string) []Event {
	var story []Event
	nodes := map[string]bool{}
	asks := map[[2]string]bool{}
	for _, e := range events {
		if !e.names(id) {
			continue
		}
		story = append(story, e)
		nodes[e.Node] = true
		if ask := e.text("ask"); ask != "" {
			asks[[2]string{e.Node, ask}] = true
		}
	}
	if len(story) == 0 {
		return nil
	}
	first := slices.MinFunc(story, byTime).Time
	last := slices.MaxFunc(story, byTime).Time
	for _, e := range events {
		vm, _, _ := strings.Cut(e.text("peer"), "/")
		upstream := e.Name == "upstreamGone" || e.Name == "upstreamChanged"
		switch {
		case e.names(id):
		case e.Name == "slotRefused" && asks[[2]string{vm, e.text("ask")}]:
			story = append(story, e)
		case e.Time.Before(first.Add(-lead)) || e.Time.After(last):
		case nodes[e.Node] && background[e.Name], upstream && nodes[e.Node] && mentions(story, e.text("upstream")):
			story = append(story, e)
		}
	}
	slices.SortStableFunc(story, causal)
	return story
}

// lead is how long before its first event the causes of a story are looked for.
const lead = 2 * time.Second

func mentions(story []Event, upstream string) bool {
	return slices.ContainsFunc(story, func(e Event) bool { return upstream != "" && e.text("upstream") == upstream })
}

func byTime(a, b Event) int { return a.Time.Compare(b.Time) }

// causal orders by time, and where the clocks of nodes can't tell, a decision before the end that it
// led to; lines of one node stay in their order.
func causal(a, b Event) int {
	if a.Node == b.Node {
		return cmp.Or(a.Time.Compare(b.Time), a.order-b.order)
	}
	if d := a.Time.Sub(b.Time); d.Abs() > clockSlack {
		return a.Time.Compare(b.Time)
	}
	return cmp.Or(rank(a)-rank(b), a.Time.Compare(b.Time))
}

// clockSlack is the difference of clocks within which times don't tell what came first.
const clockSlack = 20 * time.Millisecond

func rank(e Event) int {
	switch e.Name {
	case "requestDone", "resultsListed":
		return 2
	case "attemptFailed", "itemAttempt", "itemGivenUp":
		return 1
	default:
		return 0
	}
}

// String renders the event on one line, its fields by name.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-16s %s", e.Time.Format("15:04:05.000"), e.Node, e.Name)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, e.Fields[name])
	}
	return b.String()
}

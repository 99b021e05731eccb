// Package explain reconstructs the history of one request, job or item from the logs of any number of
// nodes.
//
// It reads lines of JSON objects as the nodes write them, with or without text before the object, and
// skips all others. An ID selects the events that have it as request, job or item, and the refusals of
// slots that the home logged for the request. For a stream that its caller took up, the requests that brought its
// earlier and later parts belong to it. It also selects, from shortly before the first to the last of
// these events, what changed the nodes' view of the home, the object service or the configuration.
//
// Usage:
//
//	events, skipped, err := explain.Read(file)
//	for _, e := range explain.Timeline(events, "9c41d07be2a35f68") {
//		fmt.Println(e)
//	}
//	if s, ok := explain.JobStory(events, "1508f72746f05810"); ok {
//		fmt.Println(s)
//	}
//	if s, ok := explain.JobEndStory(events, "1508f72746f05810"); ok {
//		fmt.Println(s)
//	}
package explain

import (
	"bufio"
	"bytes"
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
	// index is the position of the event in its log.
	index int
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read returns the events of one log, and the number of lines without an event.
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
		e.index = len(events)
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

// idFields are the fields that identify the request, job or item of an event, or the request whose stream it continues.
var idFields = []string{"request", "job", "item", "resumes"}

func (e Event) refersTo(ids []string) bool {
	return slices.ContainsFunc(idFields, func(f string) bool { return slices.Contains(ids, e.text(f)) })
}

// sameStream returns an ID and, if it is that of a request that takes a stream up, the one of the request that began it.
func sameStream(events []Event, id string) []string {
	for _, e := range events {
		if first := e.text("resumes"); e.text("request") == id && first != "" {
			return []string{id, first}
		}
	}
	return []string{id}
}

func (e Event) text(field string) string {
	if e.Fields[field] == nil {
		return ""
	}
	return fmt.Sprint(e.Fields[field])
}

// contextEvents are the events that change a node's view of the site or its own state. Timeline includes
// those from causeWindow before the first to the last event of the ID.
var contextEvents = map[string]bool{
	"homeLost": true, "homeRegained": true, "homeAnnounced": true, "leaseTaken": true, "leaseLost": true, "leaseGivenBack": true,
	"objectServiceLost": true, "objectServiceRegained": true, "watchHistoryGone": true, "configurationInForce": true,
	"linksLost": true, "linksRegained": true, "carrierUnable": true, "homeReachedByRelay": true, "upstreamLimited": true, "accountsOverLimit": true, "homeWithoutLimits": true, "drainStarted": true, "stopAsked": true, "entryStarted": true, "homeNodeStarted": true,
}

// Timeline returns the events of a request, job or item in causal order, together with the context events
// and changes of upstreams on the same nodes in that period, and with what was found about the parts of its prompt
// and about the request, at any time before.
func Timeline(events []Event, id string) []Event {
	var selected []Event
	nodes := map[string]bool{}
	asks := map[[2]string]bool{}
	ids := sameStream(events, id)
	for _, e := range events {
		if !e.refersTo(ids) {
			continue
		}
		selected = append(selected, e)
		nodes[e.Node] = true
		if ask := e.text("ask"); ask != "" {
			asks[[2]string{e.Node, ask}] = true
		}
	}
	if len(selected) == 0 {
		return nil
	}
	first := slices.MinFunc(selected, byTime).Time
	last := slices.MaxFunc(selected, byTime).Time
	for _, e := range events {
		vm, _, _ := strings.Cut(e.text("peer"), "/")
		upstream := e.Name == "upstreamGone" || e.Name == "upstreamChanged"
		switch {
		case e.refersTo(ids):
		case !e.Time.After(last) && (mentionsPart(selected, e.text("part")) || sharesIdentity(selected, e)):
			selected = append(selected, e)
		case e.Name == "slotRefused" && asks[[2]string{vm, e.text("ask")}]:
			selected = append(selected, e)
		case e.Time.Before(first.Add(-causeWindow)) || e.Time.After(last):
		case nodes[e.Node] && contextEvents[e.Name], upstream && nodes[e.Node] && mentions(selected, e.text("upstream")):
			selected = append(selected, e)
		}
	}
	return inCausalOrder(selected)
}

// causeWindow is how long before the first event of the ID context events and upstream changes are
// included, as possible causes.
const causeWindow = 2 * time.Second

func mentions(events []Event, upstream string) bool {
	return slices.ContainsFunc(events, func(e Event) bool { return upstream != "" && e.text("upstream") == upstream })
}

// sharesIdentity reports that an event is about the identity of the request that events belong to. Other failed tries of
// the request name it as well.
func sharesIdentity(events []Event, e Event) bool {
	identity := e.text("identity")
	return identity != "" && slices.ContainsFunc(events, func(own Event) bool { return own.text("identity") == identity })
}

// mentionsPart reports that events of a request name a part of its prompt.
func mentionsPart(events []Event, part string) bool {
	return part != "" && slices.ContainsFunc(events, func(e Event) bool {
		parts, _ := e.Fields["parts"].([]any)
		return slices.Contains(parts, any(part))
	})
}

func byTime(a, b Event) int { return a.Time.Compare(b.Time) }

// String renders the event on one line, with its fields sorted by name.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-16s %s", e.Time.Format(timeOfDay), e.Node, e.Name)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, " %s=%s", name, strings.ReplaceAll(fmt.Sprint(e.Fields[name]), "\n", " | "))
	}
	return b.String()
}

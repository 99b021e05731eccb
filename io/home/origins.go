package home

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/origin"
	"mothcart/core/slot"
	"mothcart/io/link"
)

// originsPerNotice bounds the streams in one notice; a stream takes some ten bytes.
const originsPerNotice = 50_000

// originsNotice sends a node the software versions at which streams began.
type originsNotice struct {
	Records origin.Records `msgpack:"recs"`
	// Authority reports that the sender decided or saw how these streams began, so that its records replace others.
	Authority bool `msgpack:"auth,omitempty"`
}

// Origins remembers at which software versions streams began: at an entry node its own ones, at a home node those for
// which the home granted slots, also those of earlier homes. It is safe for concurrent use.
type Origins struct {
	now func() time.Time
	// isEntry reports that all records are of this node's own streams.
	isEntry bool

	mu      sync.Mutex
	records *origin.Origins
	// fresh holds what was recorded since the last call of sendFresh; nil at entry nodes.
	fresh *origin.Origins
}

// NewOrigins returns origins without records.
func NewOrigins(now func() time.Time, isEntry bool, r metrics.Registry) *Origins {
	o := &Origins{now: now, isEntry: isEntry, records: origin.New()}
	if !isEntry {
		o.fresh = origin.New()
	}
	r.GetOrRegister("streams.remembered", func() metrics.Gauge { return metrics.NewFunctionalGauge(o.len) })
	return o
}

func (o *Origins) len() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int64(o.records.Len())
}

// Record records the version at which a stream begins.
func (o *Origins) Record(stream, version string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	o.records.Record(now, stream, version)
	if o.fresh != nil {
		o.fresh.Record(now, stream, version)
	}
}

// Version returns the version at which a stream began, and false if this node doesn't know it.
func (o *Origins) Version(stream string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Version(o.now(), stream)
}

// mustConfirm reports that only the versions of the upstreams can tell at which one the stream began that a request
// continues.
func (o *Origins) mustConfirm(r slot.Request, soleVersion func(now time.Time, service string) (string, bool)) bool {
	if !r.Continues || r.Version != "" {
		return false
	}
	if _, ok := o.Version(r.Resumes); ok {
		return false
	}
	_, ok := soleVersion(o.now(), r.Service)
	return ok
}

// poolOptions returns the options of a pool that binds streams by these records.
func (o *Origins) poolOptions(opts slot.Options, soleVersion func(now time.Time, service string) (string, bool)) slot.Options {
	return opts.WithOrigins(o.Record, o.Version, soleVersion)
}

// sendAll sends all records to the node at the other end of a connection.
func (o *Origins) sendAll(conn *link.Conn) {
	o.mu.Lock()
	groups := o.records.Export(o.now(), originsPerNotice)
	o.mu.Unlock()
	sendOrigins(groups, o.isEntry, conn)
}

// sendFresh sends what was recorded since the last call.
func (o *Origins) sendFresh(conns []*link.Conn) {
	o.mu.Lock()
	groups := o.fresh.Export(o.now(), originsPerNotice)
	if len(groups) > 0 {
		o.fresh = origin.New()
	}
	o.mu.Unlock()
	sendOrigins(groups, true, conns...)
}

func sendOrigins(groups []origin.Records, authority bool, conns ...*link.Conn) {
	for _, records := range groups {
		for _, conn := range conns {
			conn.Notify(methodOrigins, originsNotice{Records: records, Authority: authority})
		}
	}
}

// merge adds the records of another node.
func (o *Origins) merge(m originsNotice) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Import(o.now(), m.Records, m.Authority)
}

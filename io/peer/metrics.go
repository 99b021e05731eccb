package peer

import gometrics "github.com/rcrowley/go-metrics"

// classCounters count the traffic of one class. Bytes exclude TLS and TCP.
type classCounters struct {
	bytesIn, bytesOut, framesIn, framesOut gometrics.Counter
}

type counters struct {
	classes        map[Class]classCounters
	calls          gometrics.Counter
	callErrors     gometrics.Counter
	served         gometrics.Counter
	noticesDropped gometrics.Counter
	dials          gometrics.Counter
	dialErrors     gometrics.Counter
	reconnects     gometrics.Counter
	unresponsive   gometrics.Counter
	refused        gometrics.Counter
	connections    gometrics.Counter
}

func newCounters(r gometrics.Registry) counters {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter("peer."+name, r) }
	c := counters{
		classes:        map[Class]classCounters{},
		calls:          counter("calls"),
		callErrors:     counter("callErrors"),
		served:         counter("served"),
		noticesDropped: counter("noticesDropped"),
		dials:          counter("dials"),
		dialErrors:     counter("dialErrors"),
		reconnects:     counter("reconnects"),
		unresponsive:   counter("silentConnections"),
		refused:        counter("refusedConnections"),
		connections:    counter("connections"),
	}
	for _, class := range []Class{Control, Bulk} {
		c.classes[class] = classCounters{
			bytesIn:   counter(class.String() + ".bytesIn"),
			bytesOut:  counter(class.String() + ".bytesOut"),
			framesIn:  counter(class.String() + ".framesIn"),
			framesOut: counter(class.String() + ".framesOut"),
		}
	}
	return c
}

package carrier

import "time"

// verdictTime is how long a failure waits for evidence whether the upstream or this node's links are to blame: two
// connections that hang, one after the other.
const verdictTime = 700 * time.Millisecond

// Judge calls report once, with whether an upstream at which a connection has just failed is to blame. That is so if this
// node then opens a connection to another one, which the retry of the request does at once, or learns nothing for
// verdictTime; it is not while links are doubtful. The report must not block.
func (l *Links) Judge(report func(failed bool)) {
	l.mu.Lock()
	if l.links.Doubtful() {
		l.mu.Unlock()
		l.excused.Inc(1)
		report(false)
		return
	}
	w := &waiting{report: report}
	w.timer = time.AfterFunc(verdictTime, func() {
		l.mu.Lock()
		_, ok := l.waiting[w]
		delete(l.waiting, w)
		l.mu.Unlock()
		if ok {
			report(true)
		}
	})
	l.waiting[w] = struct{}{}
	l.mu.Unlock()
}

// waiting is a failure that waits for evidence.
type waiting struct {
	report func(failed bool)
	timer  *time.Timer
}

// settle gives the verdict on all failures that wait.
func (l *Links) settle(failed bool) {
	l.mu.Lock()
	settled := l.waiting
	if len(settled) == 0 {
		l.mu.Unlock()
		return
	}
	l.waiting = make(map[*waiting]struct{})
	l.mu.Unlock()
	if !failed {
		l.excused.Inc(int64(len(settled)))
	}
	for w := range settled {
		w.timer.Stop()
		w.report(failed)
	}
}

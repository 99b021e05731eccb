package slot

import "time"

// trialWait is how long after its pause an upstream on trial waits for a batch item or for load. After that an online
// request tries it, so that a sound upstream isn't left out for as long as the others have free slots. One that goes on to
// fail costs one attempt in this time and MaxFailPause.
const trialWait = 3 * time.Second

// isDue reports that an upstream on trial is to be tried with the request, which must be one that goes on elsewhere if the
// upstream fails.
func (u *upstream) isDue(now time.Time, r *Request) bool {
	return u.onTrial() && u.used == 0 && now.Sub(u.pausedUntil) >= trialWait && now.Sub(u.errors.at) >= trialWait && r.goesOnElsewhere()
}

// goesOnElsewhere reports that an online request is served by another upstream if the one that has it fails.
func (r *Request) goesOnElsewhere() bool {
	return !r.Batch && (r.Repeatable || (r.Stream != "" && !r.Continues))
}

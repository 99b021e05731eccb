package quota

import "time"

const (
	// lowLevel is the part of its burst below which an account counts as one that has used up its tokens.
	lowLevel = 0.5
	// maxTold bounds the accounts that are named to a node with one answer, and maxLow those that are remembered for it.
	maxTold = 8
	maxLow  = 256
)

// lowAccounts are the accounts whose tokens were used up lately, in order. Few are at a time, so that nodes hear of each
// with one of the next answers that they get in any case, and don't grant its requests once they decide alone.
type lowAccounts struct {
	names []string
	// first is the number of the first name; names are numbered from 0 on.
	first int
}

// end returns the number that the next name will have.
func (l *lowAccounts) end() int { return l.first + len(l.names) }

// since returns the last names from a number on.
func (l *lowAccounts) since(from int) []string {
	from = max(from, l.first, l.end()-maxTold)
	if from >= l.end() {
		return nil
	}
	return append([]string(nil), l.names[from-l.first:]...)
}

func (l *lowAccounts) add(name string) {
	if len(l.names) == maxLow {
		l.names = append(l.names[:0], l.names[maxLow/2:]...)
		l.first += maxLow / 2
	}
	l.names = append(l.names, name)
}

// noteLow records that an account has few tokens, and again as long as it has, before nodes stop to believe it.
func (l *Limiter) noteLow(now time.Time, acc *account) {
	if acc.bucket.Tokens(now) < lowLevel*l.tolerance.burst(acc.limit)*acc.share && now.Sub(acc.lowAt) >= l.tolerance.Window/2 {
		acc.lowAt = now
		l.low.add(acc.limit.Name)
	}
}

package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	now := time.Unix(0, 0)
	later := now.Add(time.Second)
	for _, tc := range []struct {
		name     string
		deadline time.Time
		failure  Failure
		want     Action
		ran      Ran
	}{
		{"nothing sent", later, Failure{}, Again, RanNo},
		{"refused by the upstream", later, Failure{Sent: true, Refused: true}, Again, RanNo},
		{"idempotent", later, Failure{Sent: true, Idempotent: true}, Again, RanMaybe},
		{"non-idempotent after sending", later, Failure{Sent: true}, Fail, RanMaybe},
		{"stream resumes", later, Failure{Sent: true, Idempotent: true, Resumable: true, Delivered: 3}, Resume, RanYes},
		{"stream that can't resume", later, Failure{Sent: true, Idempotent: true, Delivered: 3}, Fail, RanYes},
		{"late", now, Failure{}, Fail, RanNo},
		{"many attempts", later, Failure{Attempts: MaxAttempts}, Fail, RanNo},
		{"many attempts with progress", later, Failure{Sent: true, Idempotent: true, Resumable: true, Delivered: 9, Attempts: MaxAttempts, Progress: true}, Resume, RanYes},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, _ := Decide(now, tc.deadline, tc.failure, NewBudget(0.1))
			assert.Equal(t, tc.want, got)
			assert.Equal(t, tc.ran, RanAfter(tc.failure))
		})
	}
}

// With every request failing, retries stay within the share of requests plus the reserve.
func TestBudgetBoundsRetries(t *testing.T) {
	now := time.Unix(0, 0)
	const share, requests = 0.1, 10000
	b := NewBudget(share)
	retries := 0
	for range requests {
		b = b.WithRequest()
		action := Again
		for n := 1; action == Again; n++ {
			if action, b = Decide(now, now.Add(time.Second), Failure{Attempts: n}, b); action == Again {
				retries++
			}
		}
	}
	assert.LessOrEqual(t, retries, int(share*requests)+reserve)
	assert.Greater(t, retries, int(share*requests)-reserve)
}

func TestRefundAllowsTheRetryThatWasNotMade(t *testing.T) {
	b := NewBudget(0)
	for range 3 * reserve {
		var ok bool
		b, ok = b.Spend()
		assert.True(t, ok)
		b = b.WithRefund()
	}
	assert.Equal(t, NewBudget(0), b.WithRefund(), "never more than the reserve")
}

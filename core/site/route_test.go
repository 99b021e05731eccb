package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestWaited(t *testing.T) {
	r := Route{Timeout: 5 * time.Second}
	for _, tc := range []struct {
		name         string
		left, waited time.Duration
	}{
		{"first attempt", 5 * time.Second, 0},
		{"returned after a refusal", 4600 * time.Millisecond, 400 * time.Millisecond},
		{"a caller in a hurry", time.Second, 0},
		{"more time than the route has", 8 * time.Second, 0},
		{"time not told", 0, 0},
	} {
		assert.Equal(t, tc.waited, r.Waited(tc.left), tc.name)
	}
}

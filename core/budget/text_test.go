package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTextsSumUpWhatIsHeld(t *testing.T) {
	var sum Texts
	a, b := sum.NewText(), sum.NewText()
	for _, tc := range []struct {
		name    string
		change  func()
		held    int64
		holders int
	}{
		{"nothing", func() { a.Append("") }, 0, 0},
		{"one", func() { a.Append("abc") }, 3, 1},
		{"it grows", func() { a.Append("de") }, 5, 1},
		{"another one", func() { b.Append("x") }, 6, 2},
		{"dropped", a.Drop, 1, 1},
		{"dropped again", a.Drop, 1, 1},
		{"begun again", func() { a.Append("f") }, 2, 2},
		{"both dropped", func() { a.Drop(); b.Drop() }, 0, 0},
	} {
		tc.change()
		require.Equal(t, tc.held, sum.Held(), tc.name)
		require.Equal(t, tc.holders, sum.Holders(), tc.name)
		require.Equal(t, tc.held, int64(a.Len()+b.Len()), tc.name)
		require.Equal(t, a.String()+b.String(), string(a.Bytes())+string(b.Bytes()), tc.name)
	}
}

package service

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestReadAnswerNeverCuts(t *testing.T) {
	broken := errors.New("connection reset")
	for _, tc := range []struct {
		name string
		body io.Reader
		want error
	}{
		{"shorter", strings.NewReader("abc"), nil},
		{"at the limit", strings.NewReader("abcd"), nil},
		{"longer", strings.NewReader("abcde"), ErrTooLarge},
		{"broken off", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), broken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ReadAnswer(tc.body, 4)
			require.ErrorIs(t, err, tc.want)
			var failure *Failure
			if tc.want != nil {
				require.ErrorAs(t, err, &failure)
				require.True(t, failure.Sent)
				require.NotEmpty(t, err.Error())
			}
		})
	}
}

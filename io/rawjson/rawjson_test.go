package rawjson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		member   string
		readable bool
	}{
		{``, true}, {`null`, true}, {` 7 `, true}, {`"["`, true}, {`{"a":[1,{"b":"\"]"}]}`, true},
		{strings.Repeat("[", MaxNesting) + strings.Repeat("]", MaxNesting), true},
		{strings.Repeat("[", MaxNesting+1) + strings.Repeat("]", MaxNesting+1), false},
		{strings.Repeat(`{"a":`, 1<<20), false}, {`nothing`, false}, {`[1`, false}, {`"a`, false}, {`1 2`, false}, {`]`, false},
	} {
		require.Equal(t, tc.readable, Check([]byte(tc.member)) == nil, "%.40s", tc.member)
	}
}

// What encoding/json accepts is split into the same members, and nothing panics.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`[]`, `[1, "a]" ,{"b":[null]}]`, `{"a":1,"b":{"c":"}"}}`, `{}`, ` [ [ ] , [ ] ] `, `[1,]`, `[}`, `{"a"}`, `["\\"]`, `{"\u0061":7}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var list, got []json.RawMessage
		err := Elements(b, func(e []byte) { got = append(got, e) })
		if bytes.HasPrefix(bytes.TrimSpace(b), []byte("[")) && json.Unmarshal(b, &list) == nil {
			require.NoError(t, err)
			require.Len(t, got, len(list))
			for i := range list {
				require.Equal(t, string(list[i]), string(got[i]))
			}
		}
		var object, found map[string]json.RawMessage
		found = map[string]json.RawMessage{}
		err = Fields(b, func(name string, value []byte) { found[name] = value })
		if bytes.HasPrefix(bytes.TrimSpace(b), []byte("{")) && json.Unmarshal(b, &object) == nil {
			require.NoError(t, err)
			require.Equal(t, object, found)
		}
	})
}

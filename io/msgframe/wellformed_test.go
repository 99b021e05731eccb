package msgframe

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/member"
)

func TestCheckWellFormed(t *testing.T) {
	for _, v := range []any{
		nil, true, -1, 1 << 40, 1.5, float32(1), "", string(make([]byte, 40)), string(make([]byte, 1<<17)),
		make([]byte, 300), make([]int, 20), make([]string, 1<<17), map[string]int{"a": 1}, time.Unix(1, 1),
		member.Message{Updates: []member.Update{{ID: "e1"}}, Entries: make([]member.Entry, 1000)},
	} {
		b, err := msgpack.Marshal(v)
		require.NoError(t, err)
		require.NoError(t, CheckWellFormed(b))
		require.ErrorIs(t, CheckWellFormed(b[:len(b)-1]), ErrProtocol)
		require.ErrorIs(t, CheckWellFormed(append(b, 0)), ErrProtocol)
	}
	for _, tc := range []struct {
		name string
		b    []byte
	}{
		{"array of 4 billion", []byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0}},
		{"map of 4 billion", []byte{0xdf, 0xff, 0xff, 0xff, 0xff, 0}},
		{"unused code", []byte{0xc1}},
		{"deep nesting", append(bytes.Repeat([]byte{0x91}, maxDepth), 0)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.ErrorIs(t, CheckWellFormed(tc.b), ErrProtocol)
		})
	}
}

package config

import (
	"bytes"
	"fmt"
)

// Format renders the set as INI. Fields with default values are left out; Parse of the result
// gives the same set.
func Format(set Set) []byte {
	var b bytes.Buffer
	for _, k := range kinds {
		for _, o := range k.values(&set) {
			if b.Len() > 0 {
				b.WriteByte('\n')
			}
			fmt.Fprintf(&b, "[%s %s]\n", k.name, o.name)
			for _, kv := range o.fields {
				fmt.Fprintf(&b, "%s = %s\n", kv.key, kv.value)
			}
		}
	}
	return b.Bytes()
}

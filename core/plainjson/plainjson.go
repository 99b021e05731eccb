// Package plainjson encodes JSON without the escapes that make it safe inside HTML, which take six bytes for each of <, > and &.
//
// Usage:
//
//	b, err := plainjson.Marshal(chunk)
//	n := plainjson.Size(result)
package plainjson

import (
	"bytes"
	"encoding/json"
)

// Marshal is json.Marshal without the escapes for HTML. A json.RawMessage keeps those that it has.
func Marshal(v any) (json.RawMessage, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// Size returns the number of bytes that Marshal returns for a value; 0 if the value can't be encoded.
func Size(v any) int {
	b, err := Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}

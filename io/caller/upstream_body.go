package caller

import "github.com/ansel1/merry/v2"

// UpstreamBody encodes the body of a batch item for an engine, with name as its model and asking for a stream
// with usage.
func UpstreamBody(data []byte, name string) ([]byte, error) {
	body, err := parseCompletion(data)
	if err != nil {
		return nil, merry.Errorf("batch item: %w", err)
	}
	return body.forUpstream(name, true)
}

package soak

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"mothcart/platform"
	"mothcart/platform/fake"
)

var client = &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}

func (c *checker) request(method string, entry int, path, id string, body []byte) *http.Request {
	r, err := http.NewRequest(method, "http://"+c.s.caller(entry)+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		panic(err) // tests send only valid requests
	}
	r.ContentLength = int64(len(body))
	r.Host = fake.Host
	r.Header.Set(platform.RequestIDHeader, id)
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	return r
}

// call sends one request; an error means that no complete answer arrived.
func (c *checker) call(method string, entry int, path, id string, body []byte) (*http.Response, string, error) {
	return callBy(client, c.request(method, entry, path, id, body))
}

func callBy(client *http.Client, r *http.Request) (*http.Response, string, error) {
	resp, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// Package vmlist is a client of the platform's VM list, which reports which VMs exist and which are leaving.
//
// The list lags and may be wrong: it provides candidates, and the peers decide which of them are live. A
// Watcher reads it with long polls, abandons a poll that stopped responding, and retries with jitter. While
// the list is unavailable, the last one read stays in use.
//
// Usage:
//
//	c := vmlist.NewHTTP("http://127.0.0.1:7001", "e1", http.DefaultClient)
//	w := vmlist.New(vmlist.NewOptions(c).WithOnList(node.SetList))
//	defer w.Close()
package vmlist

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"mothcart/core/vm"
	"mothcart/io/rawjson"
)

// Path and parameters of the VM list's HTTP interface.
const (
	// Path serves the list.
	Path = "/v1/vms"
	// ParamAfter makes a read wait for a revision greater than this one.
	ParamAfter = "after"
	// ParamWaitMillis bounds the wait, in milliseconds.
	ParamWaitMillis = "waitMillis"
	// ParamReader names the VM that reads.
	ParamReader = "reader"
)

// maxListBytes bounds the body of a list.
const maxListBytes = 8 << 20

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = merry.Sentinel("VM list unavailable")

// List is one revision of the VM list.
type List struct {
	Revision uint64  `json:"revision"`
	VMs      []vm.VM `json:"vms"`
	// LeftOut holds why VMs of the list are not in VMs: they can't be read.
	LeftOut []error `json:"-"`
}

// Client holds the call of the VM list. Every call counts against the platform's rates.
type Client struct {
	// Read returns the list as soon as its revision is greater than after, or the present list when wait
	// has passed.
	Read func(ctx context.Context, after uint64, wait time.Duration) (List, error)
}

// NewHTTP returns a Client for the list at base, such as http://10.0.0.9:7001, read by the VM
// reader.
func NewHTTP(base, reader string, hc *http.Client) Client {
	return Client{Read: func(ctx context.Context, after uint64, wait time.Duration) (List, error) {
		q := url.Values{}
		q.Set(ParamAfter, strconv.FormatUint(after, 10))
		q.Set(ParamWaitMillis, strconv.FormatInt(wait.Milliseconds(), 10))
		q.Set(ParamReader, reader)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+Path+"?"+q.Encode(), nil)
		if err != nil {
			return List{}, merry.Errorf("build read of VM list: %w", err)
		}
		resp, err := hc.Do(r)
		if err != nil {
			return List{}, merry.Errorf("read VM list: %w: %w", ErrUnavailable, err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return List{}, merry.Errorf("read VM list: status %d: %w", resp.StatusCode, ErrUnavailable)
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
		if err != nil {
			return List{}, merry.Errorf("read VM list: %w: %w", ErrUnavailable, err)
		}
		l, err := decode(body)
		if err != nil {
			return List{}, merry.Errorf("decode VM list: %w: %w", ErrUnavailable, err)
		}
		return l, nil
	}}
}

// decode decodes a list VM by VM, so that one that can't be read doesn't lose the others.
func decode(body []byte) (List, error) {
	var l List
	var vms []byte
	var wrong error
	err := rawjson.Fields(body, func(name string, value []byte) {
		switch name {
		case "revision":
			wrong = json.Unmarshal(value, &l.Revision)
		case "vms":
			vms = value
		}
	})
	if err = errors.Join(err, wrong); err != nil || len(vms) == 0 || string(vms) == "null" {
		return l, err
	}
	err = rawjson.Elements(vms, func(raw []byte) {
		var v vm.VM
		err := rawjson.Check(raw)
		if err == nil {
			err = json.Unmarshal(raw, &v)
		}
		if err == nil && (v.ID == "" || !utf8.Valid(raw)) {
			err = merry.Errorf("no ID or no UTF-8: %w", rawjson.ErrNotReadable)
		}
		if err != nil {
			l.LeftOut = append(l.LeftOut, merry.Errorf("VM %.100q: %w", v.ID, err))
			return
		}
		l.VMs = append(l.VMs, v)
	})
	return l, err
}

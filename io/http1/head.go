package http1

import (
	"bytes"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

const (
	// statusBytes is the length of a status, and versionBytes that of a version with the blank after it.
	statusBytes  = 3
	versionBytes = len("HTTP/1.1 ")
)

// head checks the heads of an answer, which are those of interim answers and the final one, as their bytes arrive. The
// zero value awaits the first one.
type head struct {
	// line holds the bytes of the line that has not ended yet.
	line []byte
	// inFields reports that the status line has been read, interim that its answer is an interim one, and old that it is
	// one of HTTP/1.0.
	inFields, interim, old bool
	// done reports that the final head has ended.
	done bool
}

// add checks the next bytes and returns an error that wraps ErrHead for the first line that breaks the rules.
func (h *head) add(p []byte) error {
	for !h.done {
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, line...)
		if !ended {
			return nil
		}
		if err := h.check(string(bytes.TrimSuffix(h.line, []byte("\r")))); err != nil {
			return err
		}
		h.line, p = h.line[:0], rest
	}
	h.line = nil
	return nil
}

// check checks one line.
func (h *head) check(line string) error {
	switch {
	case !h.inFields:
		return h.checkStatus(line)
	case line == "":
		h.inFields, h.done = false, !h.interim
		return nil
	default:
		return h.checkField(line)
	}
}

// checkStatus checks a status line, whose reason may be missing.
func (h *head) checkStatus(line string) error {
	rest, ok := strings.CutPrefix(line, "HTTP/1.1 ")
	if h.old = !ok; h.old {
		if rest, ok = strings.CutPrefix(line, "HTTP/1.0 "); !ok {
			return merry.Errorf("version %.20q: %w", line[:min(len(line), versionBytes)], ErrHead)
		}
	}
	status, reason, _ := strings.Cut(rest, " ")
	if !isStatus(status) {
		return merry.Errorf("status %.20q: %w", status, ErrHead)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return merry.Errorf("control character in the reason: %w", ErrHead)
	}
	h.inFields, h.interim = true, status[0] == '1'
	return nil
}

// isStatus reports that a status is one of HTTP. No client asks for another protocol, so that 101 answers nothing.
func isStatus(s string) bool {
	if len(s) != statusBytes || s[0] < '1' || s[0] > '5' || s == "101" {
		return false
	}
	return s[1] >= '0' && s[1] <= '9' && s[2] >= '0' && s[2] <= '9'
}

// checkField checks the line of a field. A line that goes on with the value of the one before is not allowed either,
// since it is the same as a name with a blank before it. The error doesn't hold the value, which may be a secret.
func (h *head) checkField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) {
		return merry.Errorf("name of a field %.40q: %w", name, ErrHead)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return merry.Errorf("control character in the value of %.40q: %w", name, ErrHead)
	}
	if h.old && strings.EqualFold(name, "Transfer-Encoding") {
		return merry.Errorf("%s of HTTP/1.0: %w", name, ErrHead)
	}
	return nil
}

package config

import (
	"cmp"
	"strings"
	"time"
)

// Bounds of fields.
const (
	maxConcurrency   = 100_000
	maxQueueLimit    = 1_000_000
	maxMemoryMiB     = 1 << 26
	maxReplicas      = 100_000
	maxRate          = 1e6
	maxBurst         = 1_000_000
	maxPriority      = 1_000_000
	maxWeight        = 1_000_000
	maxSplits        = 16
	maxAttempts      = 100
	maxTextLength    = 256
	minTimeout       = 100 * time.Millisecond
	maxTimeout       = 24 * time.Hour
	minBatchDuration = time.Minute
	maxBatchDuration = 366 * 24 * time.Hour
)

// keyHashLength is the number of hexadecimal digits of a SHA-256.
const keyHashLength = 64

// isName reports whether name starts with a letter or digit and has only letters, digits and . _ / -.
func isName(name string) bool {
	return name != "" && isAlphanumeric(name[0]) && containsOnly(name, "._/-")
}

func isKeyHash(hash string) bool {
	for i := range len(hash) {
		if c := hash[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(hash) == keyHashLength
}

// containsOnly reports whether text has only letters, digits and the given punctuation.
func containsOnly(text, punctuation string) bool {
	for i := range len(text) {
		if !isAlphanumeric(text[i]) && strings.IndexByte(punctuation, text[i]) < 0 {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// fields reports values outside their ranges.
func (c *checker) fields() {
	c.serviceFields()
	for _, g := range c.set.UpstreamGroups {
		object := Ref{ObjectUpstreamGroup, g.Name}
		c.text(object, "label", g.Label)
		between(c, object, "memoryMiB", g.MemoryMiB, 0, maxMemoryMiB)
	}
	for _, m := range c.set.Models {
		object := Ref{ObjectModel, m.Name}
		c.text(object, "version", m.Version)
		between(c, object, "memoryMiB", m.MemoryMiB, 0, maxMemoryMiB)
		between(c, object, "replicas", m.Replicas, 0, maxReplicas)
	}
	for _, a := range c.set.Adapters {
		object := Ref{ObjectAdapter, a.Name}
		c.text(object, "version", a.Version)
		between(c, object, "memoryMiB", a.MemoryMiB, 0, maxMemoryMiB)
	}
	for _, a := range c.set.Accounts {
		object := Ref{ObjectAccount, a.Name}
		if !isKeyHash(a.KeyHash) {
			c.fail(object, "keyHash", "expected the SHA-256 of the key as 64 lower-case hexadecimal digits")
		}
		between(c, object, "requestsPerSecond", a.RequestsPerSecond, 0, maxRate)
		between(c, object, "burst", a.Burst, 0, maxBurst)
	}
	c.ruleFields()
	for _, b := range c.set.BatchClasses {
		object := Ref{ObjectBatchClass, b.Name}
		between(c, object, "window", b.Window, minBatchDuration, maxBatchDuration)
		between(c, object, "maxAttempts", b.MaxAttempts, 1, maxAttempts)
		between(c, object, "retention", b.Retention, minBatchDuration, maxBatchDuration)
		between(c, object, "weight", b.Weight, 1, maxWeight)
	}
}

func (c *checker) serviceFields() {
	for _, s := range c.set.Services {
		object := Ref{ObjectService, s.Name}
		if s.Kind != KindEngine && s.Kind != KindPlain {
			c.fail(object, "kind", "%q is neither %s nor %s", s.Kind, KindEngine, KindPlain)
		}
		between(c, object, "progressTimeout", s.ProgressTimeout, minTimeout, maxTimeout)
		between(c, object, "requestTimeout", s.RequestTimeout, minTimeout, maxTimeout)
		between(c, object, "retryBudget", s.RetryBudget, 0, 1)
		between(c, object, "maxConcurrency", s.MaxConcurrency, 1, maxConcurrency)
		between(c, object, "queueLimit", s.QueueLimit, 0, maxQueueLimit)
		between(c, object, "harmWeight", s.HarmWeight, 0, 1)
		between(c, object, "batchShare", s.BatchShare, 0, 0.9)
		between(c, object, "maxUnavailable", s.MaxUnavailable, 0, 1)
	}
}

func (c *checker) ruleFields() {
	for _, r := range c.set.Rules {
		object := Ref{ObjectRule, r.Name}
		between(c, object, "priority", r.Priority, -maxPriority, maxPriority)
		if r.Header != "" && !containsOnly(r.Header, "-") {
			c.fail(object, "header", "%q is not a header name", r.Header)
		}
		if r.Header == "" && r.Value != "" {
			c.fail(object, "value", "needs a header")
		}
		if r.Value != "" {
			c.text(object, "value", r.Value)
		}
		c.splits(object, r.Splits)
	}
}

func (c *checker) splits(object Ref, splits []Split) {
	if len(splits) == 0 || len(splits) > maxSplits {
		c.fail(object, fieldSplit, "has %d destinations, expected 1 to %d", len(splits), maxSplits)
		return
	}
	seen := map[string]bool{}
	sum := 0
	for _, s := range splits {
		if s.Target == "" {
			c.fail(object, fieldSplit, "a destination has no name")
		}
		if seen[s.Target] {
			c.fail(object, fieldSplit, "%s stands twice", s.Target)
		}
		seen[s.Target] = true
		sum += between(c, object, fieldSplit, s.Weight, 0, maxWeight)
	}
	if sum == 0 {
		c.fail(object, fieldSplit, "the weights add up to 0")
	}
}

// text reports a value that is missing, too long or has characters that configuration files can't hold.
func (c *checker) text(object Ref, field, value string) {
	switch {
	case value == "":
		c.fail(object, field, "is missing")
	case len(value) > maxTextLength:
		c.fail(object, field, "has %d bytes, at most %d are allowed", len(value), maxTextLength)
	case !containsOnly(value, "._:/@+-"):
		c.fail(object, field, "%q may hold letters, digits and . _ : / @ + -", value)
	}
}

// between reports a value outside low to high and returns it clamped to that range.
func between[T cmp.Ordered](c *checker, object Ref, field string, value, low, high T) T {
	if !(value >= low && value <= high) {
		c.fail(object, field, "%v is outside %v to %v", value, low, high)
	}
	return min(max(value, low), high)
}

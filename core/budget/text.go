package budget

import "bytes"

// Texts sums up texts as they grow and are dropped; the zero value has none. It is not safe for concurrent use.
type Texts struct {
	held    int64
	holders int
}

// Held returns the size of all texts together, in bytes.
func (t *Texts) Held() int64 { return t.held }

// Holders returns how many texts are not empty.
func (t *Texts) Holders() int { return t.holders }

// Text is a text that counts in its Texts. It is used as NewText returns it, so that no change goes past the sum.
type Text struct {
	of   *Texts
	text bytes.Buffer
}

// NewText returns an empty text.
func (t *Texts) NewText() *Text { return &Text{of: t} }

// Append adds to the end of the text.
func (t *Text) Append(s string) {
	if t.text.Len() == 0 && s != "" {
		t.of.holders++
	}
	t.of.held += int64(len(s))
	t.text.WriteString(s)
}

// Drop makes the text empty and frees its memory.
func (t *Text) Drop() {
	if t.text.Len() > 0 {
		t.of.holders--
	}
	t.of.held -= int64(t.text.Len())
	t.text = bytes.Buffer{}
}

// Len returns the size of the text, in bytes.
func (t *Text) Len() int { return t.text.Len() }

// Bytes returns the text until its next change.
func (t *Text) Bytes() []byte { return t.text.Bytes() }

// String returns the text.
func (t *Text) String() string { return t.text.String() }

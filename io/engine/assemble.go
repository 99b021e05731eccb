package engine

import (
	"encoding/json"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Assembler builds a complete answer from the events of a stream.
type Assembler struct {
	chat     bool
	events   int
	tokens   int
	last     chunk
	text     strings.Builder
	role     string
	finish   *string
	usage    json.RawMessage
	complete bool
}

// chunk is one event of a stream, of a chat or a text completion.
type chunk struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	Choices           []chunkChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	Text         string     `json:"text"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completeAnswer struct {
	ID                string           `json:"id"`
	Object            string           `json:"object"`
	Created           int64            `json:"created"`
	Model             string           `json:"model"`
	SystemFingerprint string           `json:"system_fingerprint,omitempty"`
	Choices           []completeChoice `json:"choices"`
	Usage             json.RawMessage  `json:"usage,omitempty"`
}

type completeChoice struct {
	Index        int              `json:"index"`
	Message      *completeMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	Logprobs     *struct{}        `json:"logprobs"`
	FinishReason *string          `json:"finish_reason"`
}

type completeMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

// NewAssembler returns an empty assembler for the answer of a call to path.
func NewAssembler(path string) *Assembler {
	return &Assembler{chat: path == ChatPath, role: "assistant"}
}

// Events returns the number of events added.
func (a *Assembler) Events() int { return a.events }

// Tokens returns the number of tokens added, which is the index from which a broken stream is resumed.
func (a *Assembler) Tokens() int { return a.tokens }

// Add adds the data of one event.
func (a *Assembler) Add(data string) error {
	a.events++
	if data == DoneEvent {
		a.complete = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return merry.Errorf("decode event of stream: %w", err)
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.usage = c.Usage
	} else {
		a.tokens++
	}
	if c.ID != "" {
		a.last = c
	}
	for _, choice := range c.Choices {
		a.text.WriteString(choice.Delta.Content)
		a.text.WriteString(choice.Text)
		if choice.Delta.Role != "" {
			a.role = choice.Delta.Role
		}
		if choice.FinishReason != nil {
			a.finish = choice.FinishReason
		}
	}
	return nil
}

// Answer returns the encoded complete answer; it fails if the stream ended before [DONE].
func (a *Assembler) Answer() ([]byte, error) {
	if !a.complete {
		return nil, merry.New("stream ended before [DONE]")
	}
	text := a.text.String()
	choice := completeChoice{FinishReason: a.finish}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		choice.Message = &completeMessage{Role: a.role, Content: text}
	} else {
		choice.Text = &text
	}
	data, err := json.Marshal(completeAnswer{
		ID: a.last.ID, Object: object, Created: a.last.Created, Model: a.last.Model,
		SystemFingerprint: a.last.SystemFingerprint, Choices: []completeChoice{choice}, Usage: a.usage,
	})
	if err != nil {
		return nil, merry.Errorf("encode answer: %w", err)
	}
	return data, nil
}

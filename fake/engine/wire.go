package engine

import (
	"encoding/json"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Headers of the engine protocol.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderResumeFrom = "X-Resume-From"
	HeaderResumable  = "X-Resumable"
)

const (
	objectChat       = "chat.completion"
	objectCompletion = "text_completion"
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

type generation struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

type loadReport struct {
	Running          int      `json:"running"`
	Waiting          int      `json:"waiting"`
	KVUsedTokens     int      `json:"kvUsedTokens"`
	KVCapacityTokens int      `json:"kvCapacityTokens"`
	MaxRunning       int      `json:"maxRunning"`
	ReportedAtMillis int64    `json:"reportedAtMillis"`
	Models           []string `json:"models"`
}

type cacheReport struct {
	Events []CacheEvent `json:"events"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type orderedModel struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

type order struct {
	FencingNumber uint64         `json:"fencingNumber"`
	LeaseMillis   int64          `json:"leaseMillis"`
	Models        []orderedModel `json:"models"`
	Adapters      []orderedModel `json:"adapters"`
	Role          string         `json:"role"`
}

// ChatPrompt returns the prompt text of a chat, given as pairs of role and content.
func ChatPrompt(rolesAndContents ...string) string {
	b := strings.Builder{}
	for i := 0; i+1 < len(rolesAndContents); i += 2 {
		b.WriteString(rolesAndContents[i] + ": " + rolesAndContents[i+1] + "\n")
	}
	return b.String()
}

// promptOf returns the prompt text and the start of it that other prompts share: the first message of a
// chat, or the text before the first empty line. A chat of one message and a text without an empty line have
// no shared start.
func promptOf(g generation, chat bool) (prompt, prefix string, err error) {
	if !chat {
		prompt, err = textOf(g.Prompt)
		prefix, _, _ = strings.Cut(prompt, "\n\n")
		if prefix == prompt {
			prefix = ""
		}
		return prompt, prefix, err
	}
	if len(g.Messages) == 0 {
		return "", "", merry.New("messages is empty")
	}
	b := strings.Builder{}
	for i, m := range g.Messages {
		text, err := textOf(m.Content)
		if err != nil {
			return "", "", err
		}
		b.WriteString(ChatPrompt(m.Role, text))
		if i == 0 && len(g.Messages) > 1 {
			prefix = b.String()
		}
	}
	return b.String(), prefix, nil
}

// textOf reads a string, or a list of strings or text parts.
func textOf(raw json.RawMessage) (string, error) {
	var text string
	if len(raw) == 0 || json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, ""), nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", merry.Errorf("read text: %w", err)
	}
	b := strings.Builder{}
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// limitOf returns the number of tokens to generate.
func limitOf(g generation, defaultTokens int) int {
	if g.MaxCompletionTokens > 0 {
		return g.MaxCompletionTokens
	}
	if g.MaxTokens > 0 {
		return g.MaxTokens
	}
	return defaultTokens
}

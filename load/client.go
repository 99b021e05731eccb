package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
)

// ErrRefused means that the server refused the request and reported that it did not run.
var ErrRefused = merry.Sentinel("the request was refused and did not run")

// Client sends chat requests. It is safe for concurrent use.
type Client struct {
	key   string
	model string
	http  *http.Client
}

// NewClient returns a client that uses an API key and requests answers of a model.
func NewClient(key, model string) *Client {
	return &Client{key: key, model: model, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, MaxIdleConns: 10000}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one chat request.
type Request struct {
	// URL is the base URL of the server, without a path.
	URL    string
	Prompt string
	Tokens int
	Stream bool
	// Due is the scheduled time of the request, from which its times are counted.
	Due time.Time
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatAnswer struct {
	Choices []struct {
		Delta   Message `json:"delta"`
		Message Message `json:"message"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// ChatBody returns the body of a chat request with one user message.
func ChatBody(model, prompt string, tokens int, stream bool) ([]byte, error) {
	body, err := json.Marshal(chatRequest{Model: model, MaxTokens: tokens, Stream: stream, Messages: []Message{{Role: "user", Content: prompt}}})
	if err != nil {
		return nil, merry.Errorf("encode chat: %w", err)
	}
	return body, nil
}

// Chat sends the request, records its tokens and returns the text. A stream that doesn't end with
// [DONE] is an error; a refusal wraps ErrRefused.
func (c *Client) Chat(ctx context.Context, req Request, recorder *Recorder) (string, error) {
	body, err := ChatBody(c.model, req.Prompt, req.Tokens, req.Stream)
	if err != nil {
		return "", err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, req.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", merry.Errorf("build request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("X-Request-Id", uuid.NewString())
	resp, err := c.http.Do(r)
	if err != nil {
		return "", merry.Errorf("send: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", statusError(resp)
	}
	if req.Stream {
		return readStream(resp.Body, req.Due, recorder)
	}
	return readComplete(resp.Body, req.Due, recorder)
}

func statusError(resp *http.Response) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	if resp.Header.Get("Mothcart-Ran") == "no" {
		return merry.Errorf("status %d: %w", resp.StatusCode, ErrRefused)
	}
	return merry.Errorf("status %d", resp.StatusCode)
}

func readComplete(body io.Reader, due time.Time, recorder *Recorder) (string, error) {
	var a chatAnswer
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		return "", merry.Errorf("read answer: %w", err)
	}
	recorder.Token(time.Now(), time.Time{}, due)
	return a.text(), nil
}

func (a chatAnswer) text() string {
	var b strings.Builder
	for _, c := range a.Choices {
		b.WriteString(c.Delta.Content)
		b.WriteString(c.Message.Content)
	}
	return b.String()
}

func readStream(body io.Reader, due time.Time, recorder *Recorder) (string, error) {
	var text strings.Builder
	var last time.Time
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var a chatAnswer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return "", merry.Errorf("read event: %w", err)
		}
		if a.Error != nil {
			return "", merry.Errorf("error in stream: %s", a.Error.Message)
		}
		now := time.Now()
		recorder.Token(now, last, due)
		last = now
		text.WriteString(a.text())
	}
	return "", merry.Errorf("read stream: %w", io.ErrUnexpectedEOF)
}

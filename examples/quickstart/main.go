// Command quickstart starts a small site in this process and sends it one chat request with OpenAI's
// official client.
//
// Usage:
//
//	go run ./examples/quickstart
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"mothcart/fake/fleet"
)

// readyTimeout is the time limit of the whole run: the start of the site and the request.
const readyTimeout = 20 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run() error {
	site, err := fleet.New(fleet.NewOptions())
	if err != nil {
		return merry.Errorf("start site: %w", err)
	}
	defer site.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := site.Ready(ctx); err != nil {
		return merry.Errorf("start site: %w", err)
	}
	client := openai.NewClient(option.WithBaseURL("http://"+site.Server(0).CallerAddress()+"/v1"), option.WithAPIKey(fleet.OnlineKey))
	answer, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model:     fleet.Model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Who arranges the flowers on Sunday?")},
		MaxTokens: openai.Int(12),
	})
	if err != nil {
		return merry.Errorf("ask: %w", err)
	}
	fmt.Println(answer.Choices[0].Message.Content)
	return nil
}

package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the assumed length of a prompt token, in bytes.
	bytesPerToken = 4
	// failMark in a prompt makes the request fail with status 500.
	failMark = "[hopeless]"
	// crashMark in a prompt makes the engine crash when it runs the request.
	crashMark = "[crash]"
)

var words = []string{
	"altar", "arch", "aster", "bowl", "bud", "candle", "cup", "dahlia", "engrave", "fern", "foil",
	"gold", "iris", "ivy", "laurel", "lily", "line", "medal", "moss", "name", "oak", "palm",
	"plaque", "prize", "ribbon", "rose", "sage", "silver", "stem", "vase", "wreath", "year",
}

// TokenAt returns the token at a 0-based index of the answer to a prompt. It is a pure function.
func TokenAt(model, prompt string, index int) string {
	return tokenAt(promptHash(model, prompt), index)
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(model, prompt string, n int) string {
	hash := promptHash(model, prompt)
	b := strings.Builder{}
	for i := range n {
		b.WriteString(tokenAt(hash, i))
	}
	return b.String()
}

func promptHash(model, prompt string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

func tokenAt(hash uint64, index int) string {
	const mix = 0x9e3779b97f4a7c15
	x := (hash ^ uint64(index)*mix) * mix
	return words[(x>>32)%uint64(len(words))] + " "
}

// tokens returns the assumed number of tokens of a text.
func tokens(text string) int { return len(text)/bytesPerToken + 1 }

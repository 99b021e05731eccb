// Package logs writes one line of key=value pairs an event.
//
// Usage:
//
//	log, err := logs.New(os.Stderr, "info")
//	log.Info().Str("request", id).Msg("requestDone")
package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

// Levels lists the accepted names of levels.
func Levels() []string { return []string{"debug", "info", "warn", "error", "disabled"} }

// New returns a logger that writes the events of level and above to w. It fails on an unknown
// level.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), merry.Errorf("log level %q: not one of %s", level, strings.Join(Levels(), ", "))
	}
	out := zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		FormatTimestamp:  labelled("time"),
		FormatLevel:      labelled("level"),
		FormatMessage:    labelled("event"),
		FormatFieldName:  func(i any) string { return fmt.Sprintf("%s=", i) },
		FormatFieldValue: quoted,
	}
	return zerolog.New(out).Level(parsed).With().Timestamp().Logger(), nil
}

func labelled(name string) zerolog.Formatter {
	return func(i any) string { return name + "=" + quoted(i) }
}

// quoted renders a value; text with spaces, quotes or equal signs is quoted.
func quoted(i any) string {
	if i == nil {
		return ""
	}
	s := fmt.Sprintf("%s", i)
	if unquoted, err := strconv.Unquote(s); err == nil {
		s = unquoted
	}
	if strings.ContainsAny(s, " \t\n\"=") {
		return strconv.Quote(s)
	}
	return s
}

package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// field is one key of a kind of object.
type field[T any] struct {
	name string
	get  func(v *T) string
	set  func(v *T, text string) error
}

func stringField[T any](name string, at func(*T) *string) field[T] {
	return field[T]{
		name: name,
		get:  func(v *T) string { return *at(v) },
		set:  func(v *T, text string) error { *at(v) = text; return nil },
	}
}

func boolField[T any](name string, at func(*T) *bool) field[T] {
	return field[T]{
		name: name,
		get:  func(v *T) string { return strconv.FormatBool(*at(v)) },
		set: func(v *T, text string) error {
			b, err := strconv.ParseBool(text)
			if err != nil {
				return fmt.Errorf("%q is not true or false", text)
			}
			*at(v) = b
			return nil
		},
	}
}

func intField[T any](name string, at func(*T) *int) field[T] {
	return field[T]{
		name: name,
		get:  func(v *T) string { return strconv.Itoa(*at(v)) },
		set: func(v *T, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("%q is not a whole number", text)
			}
			*at(v) = n
			return nil
		},
	}
}

func floatField[T any](name string, at func(*T) *float64) field[T] {
	return field[T]{
		name: name,
		get:  func(v *T) string { return formatFloat(*at(v)) },
		set: func(v *T, text string) (err error) {
			*at(v), err = parseFloat(text)
			return err
		},
	}
}

func durationField[T any](name string, at func(*T) *time.Duration) field[T] {
	return field[T]{
		name: name,
		get:  func(v *T) string { return at(v).String() },
		set: func(v *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("%q is not a duration such as 30s or 8h", text)
			}
			*at(v) = d
			return nil
		},
	}
}

func splitsField(name string, at func(*Rule) *[]Split) field[Rule] {
	return field[Rule]{
		name: name,
		get:  func(v *Rule) string { return formatSplits(*at(v)) },
		set: func(v *Rule, text string) (err error) {
			*at(v), err = parseSplits(text)
			return err
		},
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func parseFloat(text string) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f != f {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	return f, nil
}

func formatSplits(splits []Split) string {
	parts := make([]string, 0, len(splits))
	for _, s := range splits {
		parts = append(parts, fmt.Sprintf("%s:%d", s.Target, s.Weight))
	}
	return strings.Join(parts, ", ")
}

// parseSplits reads "scribe:90, scribe-v2:10"; a target without a weight has weight 1.
func parseSplits(text string) ([]Split, error) {
	var splits []Split
	for part := range strings.SplitSeq(text, ",") {
		target, weight, weighted := strings.Cut(strings.TrimSpace(part), ":")
		s := Split{Target: target, Weight: 1}
		if weighted {
			n, err := strconv.Atoi(strings.TrimSpace(weight))
			if err != nil {
				return nil, fmt.Errorf("weight %q of %q is not a whole number", weight, target)
			}
			s.Weight = n
		}
		splits = append(splits, s)
	}
	return splits, nil
}

// Package event lists the lines that processes log and the fields that these hold. No other package
// names a line or a field, so that whoever reads logs finds all of them in docs/OPERATIONS.md.
package event

import (
	"context"
	"log/slog"
	"strings"
	"time"
	"unicode/utf8"
)

// Levels of lines. Where there are too many lines, the routine ones are dropped first.
const (
	Routine = slog.LevelDebug // A step of a request that is served as usual.
	Change  = slog.LevelInfo  // A change of what the process believes.
	Trouble = slog.LevelWarn  // A request is not served as usual, or something is out of reach.
	Fault   = slog.LevelError // An operator has to look at it.
)

// Kind is a kind of line.
type Kind struct {
	Name   string
	Level  slog.Level
	About  string // When the line is written.
	Fields []Key  // That it may hold.
}

// all are the kinds in the order of their definition.
var all []*Kind

func define(level slog.Level, name, about string, fields ...Key) *Kind {
	k := &Kind{name, level, about, fields}
	all = append(all, k)
	return k
}

// Kinds returns all kinds.
func Kinds() []*Kind { return all }

// Enabled reports whether lines of the kind are written at all.
func (k *Kind) Enabled(log *slog.Logger) bool { return log.Enabled(context.Background(), k.Level) }

// Log writes a line.
func (k *Kind) Log(log *slog.Logger, fields ...slog.Attr) { k.LogAt(k.Level, log, fields...) }

// LogAt writes a line of another level than usual.
func (k *Kind) LogAt(level slog.Level, log *slog.Logger, fields ...slog.Attr) {
	log.LogAttrs(context.Background(), level, k.Name, fields...)
}

// Key is the name of a field.
type Key string

// maxText bounds a field in bytes: some come from requests.
const maxText = 300

// Text returns a field with a text, cut off where it is very long.
func Text[T ~string](key Key, value T) slog.Attr {
	text := string(value)
	if len(text) > maxText {
		text = text[:maxText]
		for !utf8.ValidString(text) && len(text) > maxText-utf8.UTFMax {
			text = text[:len(text)-1]
		}
	}
	return slog.String(string(key), text)
}

// Count returns a field with a whole number.
func Count[T ~int | ~int64 | ~uint64](key Key, value T) slog.Attr {
	return slog.Int64(string(key), int64(value))
}

// MS returns a field with a time in milliseconds, to a tenth.
func MS(key Key, value time.Duration) slog.Attr {
	const tenth = time.Millisecond / 10
	return slog.Float64(string(key), float64(value.Round(tenth)/tenth)/10)
}

// Is returns a field that is true or false.
func Is(key Key, value bool) slog.Attr { return slog.Bool(string(key), value) }

// List returns a field with several texts, separated by commas.
func List[T ~string](key Key, values []T) slog.Attr {
	var text strings.Builder
	for i, value := range values {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(string(value))
	}
	return Text(key, text.String())
}

// Err returns the field that tells an error.
func Err(err error) slog.Attr { return Text(Error, err.Error()) }

// Find returns the kind of that name, or nil.
func Find(name string) *Kind {
	for _, k := range all {
		if k.Name == name {
			return k
		}
	}
	return nil
}

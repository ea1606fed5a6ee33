// Package event defines the kinds of log lines and their fields. No other package names a log line or
// a field, so that docs/OPERATIONS.md, which a test compares with this package, lists all of them.
package event

import (
	"context"
	"log/slog"
	"math"
	"strings"
	"time"
	"unicode/utf8"
)

// Levels of log lines. When there are too many lines, those of level Routine are dropped first.
const (
	Routine = slog.LevelDebug // A step of a request that is served normally.
	Change  = slog.LevelInfo  // A change of the process's state or of its view of other members.
	Trouble = slog.LevelWarn  // A request is not served normally, or something cannot be reached.
	Fault   = slog.LevelError // An operator has to intervene.
)

// Kind is a kind of log line.
type Kind struct {
	Name   string
	Level  slog.Level
	About  string // When the line is written.
	Fields []Key  // Fields that the line may hold.
}

// kinds holds all kinds in the order of their definition.
var kinds []*Kind

func define(level slog.Level, name, about string, fields ...Key) *Kind {
	k := &Kind{name, level, about, fields}
	kinds = append(kinds, k)
	return k
}

// Kinds returns all kinds.
func Kinds() []*Kind { return kinds }

// Enabled reports whether log writes lines of the kind's level.
func (k *Kind) Enabled(log *slog.Logger) bool { return log.Enabled(context.Background(), k.Level) }

// Log writes a line at the kind's level.
func (k *Kind) Log(log *slog.Logger, fields ...slog.Attr) { k.LogAt(k.Level, log, fields...) }

// LogAt writes a line at a level other than the kind's.
func (k *Kind) LogAt(level slog.Level, log *slog.Logger, fields ...slog.Attr) {
	log.LogAttrs(context.Background(), level, k.Name, fields...)
}

// Key is the name of a field.
type Key string

// maxText is the maximum length of a text field in bytes. Some texts come from requests and may have
// any length.
const maxText = 300

// Text returns a text field. A text longer than maxText is cut off between two characters.
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

// Int returns an integer field.
func Int[T ~int | ~int64 | ~uint64](key Key, value T) slog.Attr {
	return slog.Int64(string(key), int64(value))
}

// MS returns a field with a duration in milliseconds, rounded to a tenth of a millisecond.
func MS(key Key, value time.Duration) slog.Attr {
	const tenth = time.Millisecond / 10
	return slog.Float64(string(key), float64(value.Round(tenth)/tenth)/10)
}

// Ratio returns a field with a number, rounded to a hundredth.
func Ratio(key Key, value float64) slog.Attr {
	return slog.Float64(string(key), math.Round(100*value)/100)
}

// Flag returns a boolean field.
func Flag(key Key, value bool) slog.Attr { return slog.Bool(string(key), value) }

// List returns a text field with the values separated by commas.
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

// Err returns the field Error with the error's text.
func Err(err error) slog.Attr { return Text(Error, err.Error()) }

// Find returns the kind with the given name, or nil if there is none.
func Find(name string) *Kind {
	for _, k := range kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// Package explain builds the timeline of a request from the logs of any number of processes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

// Line is one line of a log.
type Line struct {
	At     time.Time // Time by the clock of the node.
	Level  string
	Kind   string
	Node   string
	Fields map[event.Key]any // All fields but those above and the plug-in's name.
}

// text returns the value of a field that holds a text, or "".
func (l *Line) text(key event.Key) string {
	value, _ := l.Fields[key].(string)
	return value
}

// number returns the value of a field that holds a number, or 0.
func (l *Line) number(key event.Key) float64 {
	value, _ := l.Fields[key].(float64)
	return value
}

func (l *Line) job() model.JobID { return model.JobID(l.text(event.Job)) }

// maxLineBytes is the longest line that is read. Processes limit the length of fields when they write them.
const maxLineBytes = 1 << 20

// Read returns the log lines of a file. It skips any prefix before a line's JSON, which files shared by several
// processes have, and lines that are no log lines.
func Read(r io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parseLine(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read the log")
}

// parseLine decodes a log line. It returns false if the line has no valid time or is of no known kind.
func parseLine(raw []byte) (Line, bool) {
	var all map[event.Key]any
	if json.Unmarshal(raw, &all) != nil {
		return Line{}, false // An incomplete line, or no log line.
	}
	line := Line{Fields: all}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || event.Find(line.text("msg")) == nil {
		return Line{}, false
	}
	line.At, line.Level, line.Kind, line.Node = at, strings.ToLower(line.text("level")), line.text("msg"), line.text(event.Node)
	for _, key := range []event.Key{"time", "level", "msg", event.Node, event.Plugin} {
		delete(all, key)
	}
	return line, true
}

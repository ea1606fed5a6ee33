// Package explain tells the story of a request from the logs of any number of processes.
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
	At     time.Time // By the clock of the node.
	Level  string
	Kind   string
	Node   string
	Fields map[event.Key]any // Without the above, and without the plug-in.
}

// text returns a field that is a text, or "".
func (l *Line) text(key event.Key) string {
	value, _ := l.Fields[key].(string)
	return value
}

// number returns a field that is a number, or 0.
func (l *Line) number(key event.Key) float64 {
	value, _ := l.Fields[key].(float64)
	return value
}

func (l *Line) job() model.JobID { return model.JobID(l.text(event.Job)) }

// maxLine bounds a line in bytes; fields are bounded where they are written.
const maxLine = 1 << 20

// Read returns the log lines of a file. What stands before a line's JSON, as where several processes
// share a file, is passed over, and so are lines that are none of a log.
func Read(r io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parse(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read the log")
}

// parse returns the line of a kind that processes write.
func parse(raw []byte) (Line, bool) {
	var all map[event.Key]any
	if json.Unmarshal(raw, &all) != nil {
		return Line{}, false // A torn line, or none of a log.
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

package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

// Write prints the timeline as text: times relative to the request's first line, warnings and errors marked, and
// at the end what is missing.
func (t *Timeline) Write(w io.Writer) {
	out := &printer{w: w}
	if len(t.Keys) > 0 {
		out.line("caller's id  %s", strings.Join(t.Keys, ", "))
	}
	for _, job := range t.Jobs {
		out.line("job          %s", job)
	}
	for _, c := range t.Clocks {
		out.line("clock        %s %s", c.Node, c.describe())
	}
	var start time.Time
	if i := slices.IndexFunc(t.Events, func(e Event) bool { return !e.Related }); i >= 0 {
		start = t.Events[i].At
		out.line("begins       %s, by the clock of the first job's owner", start.Format(time.RFC3339Nano))
	}
	for _, e := range t.Events {
		out.line("%s %10.1f ms  %-24s %-20s %s", e.mark(), float64(e.At.Sub(start).Microseconds())/1000, e.Node, e.Kind, t.describe(e))
	}
	if len(t.Missing) == 0 {
		out.line("missing      nothing, as far as the log lines show")
	}
	for _, what := range t.Missing {
		out.line("missing      %s", what)
	}
}

type printer struct{ w io.Writer }

func (p *printer) line(format string, values ...any) {
	// Write errors are ignored: the reader may have closed the pipe.
	fmt.Fprintln(p.w, strings.TrimRight(fmt.Sprintf(format, values...), " "))
}

// mark returns the marks of a line: "~" if it is not about the request itself, "!" for a warning or an error.
func (e *Event) mark() string {
	relation, severity := " ", " "
	if e.Related {
		relation = "~"
	}
	if e.Level == "warn" || e.Level == "error" {
		severity = "!"
	}
	return relation + severity
}

func (c *Clock) describe() string {
	if c.Least == nil && c.Most == nil {
		return "cannot be compared: no lines on jobs of the first job's owner"
	}
	return fmt.Sprintf("is ahead by %s (at least %s, at most %s)", formatMS(&c.Ahead), formatMS(c.Least), formatMS(c.Most))
}

func formatMS(d *time.Duration) string {
	if d == nil {
		return "anything"
	}
	return strconv.FormatFloat(d.Seconds()*1000, 'f', 1, 64) + " ms"
}

// describe returns the fields in the order in which the kind lists them, without empty ones and without those
// that the header already shows.
func (t *Timeline) describe(e Event) string {
	kind := event.Find(e.Kind)
	var text strings.Builder
	for _, key := range kind.Fields {
		value, ok := e.Fields[key]
		if !ok || value == "" || t.inHeader(key, value) {
			continue
		}
		fmt.Fprintf(&text, "%s=%v ", key, value)
	}
	return text.String()
}

// inHeader reports whether the header already shows the field's value.
func (t *Timeline) inHeader(key event.Key, value any) bool {
	text, _ := value.(string)
	switch key {
	case event.Job:
		return len(t.Jobs) == 1 && t.Jobs[0] == model.JobID(text)
	case event.JobKey:
		return len(t.Keys) == 1 && t.Keys[0] == text
	}
	return false
}

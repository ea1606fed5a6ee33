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

// Write prints the story for people: times from the first line, the trouble marked, and at the end what
// is missing.
func (s *Story) Write(w io.Writer) {
	out := &printer{w: w}
	if len(s.Keys) > 0 {
		out.line("caller's id  %s", strings.Join(s.Keys, ", "))
	}
	for _, job := range s.Jobs {
		out.line("job          %s", job)
	}
	for _, c := range s.Clocks {
		out.line("clock        %s %s", c.Node, c.describe())
	}
	var begun time.Time
	if i := slices.IndexFunc(s.Events, func(e Event) bool { return !e.Around }); i >= 0 {
		begun = s.Events[i].At
		out.line("begins       %s, by the clock of the first job's owner", begun.Format(time.RFC3339Nano))
	}
	for _, e := range s.Events {
		out.line("%s %10.1f ms  %-24s %-20s %s", e.mark(), float64(e.At.Sub(begun).Microseconds())/1000, e.Node, e.Kind, s.describe(e))
	}
	if len(s.Missing) == 0 {
		out.line("missing      nothing that the lines tell of")
	}
	for _, what := range s.Missing {
		out.line("missing      %s", what)
	}
}

type printer struct{ w io.Writer }

func (p *printer) line(format string, values ...any) {
	fmt.Fprintln(p.w, strings.TrimRight(fmt.Sprintf(format, values...), " ")) // Who reads may be gone.
}

// mark tells trouble ("!") and lines that are not on the request itself ("~").
func (e *Event) mark() string {
	own, trouble := " ", " "
	if e.Around {
		own = "~"
	}
	if e.Level == "warn" || e.Level == "error" {
		trouble = "!"
	}
	return own + trouble
}

func (c *Clock) describe() string {
	if c.Least == nil && c.Most == nil {
		return "cannot be compared: no lines on jobs of the first job's owner"
	}
	return fmt.Sprintf("is ahead by %s (at least %s, at most %s)", short(&c.Ahead), short(c.Least), short(c.Most))
}

func short(d *time.Duration) string {
	if d == nil {
		return "anything"
	}
	return strconv.FormatFloat(d.Seconds()*1000, 'f', 1, 64) + " ms"
}

// describe returns the fields in the order in which the kind lists them, without those that the head of
// the story tells and without empty ones.
func (s *Story) describe(e Event) string {
	kind := event.Find(e.Kind)
	var text strings.Builder
	for _, key := range kind.Fields {
		value, ok := e.Fields[key]
		if !ok || value == "" || s.told(key, value) {
			continue
		}
		fmt.Fprintf(&text, "%s=%v ", key, value)
	}
	return text.String()
}

// told reports whether the head of the story tells a field.
func (s *Story) told(key event.Key, value any) bool {
	text, _ := value.(string)
	switch key {
	case event.Job:
		return len(s.Jobs) == 1 && s.Jobs[0] == model.JobID(text)
	case event.JobKey:
		return len(s.Keys) == 1 && s.Keys[0] == text
	}
	return false
}

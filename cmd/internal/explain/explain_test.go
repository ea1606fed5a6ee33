package explain

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/event"
)

// Of testdata/refused.log, which was recorded on the users' bench: four pools with long queues refuse
// the job one after the other.
const (
	refusedKey = "c179d888c20be050"
	refusedJob = "frontend-meseta-c-1.r37djlq247zr.muor657l.2w.c11b8732ef015c15"
	refusedBy  = "frontend-meseta-a-2" // The second of the pools' owners.
)

func recorded(t *testing.T) []Line {
	t.Helper()
	file, err := os.Open("testdata/refused.log")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// kinds returns the kinds of the story's own lines.
func (s *Story) kinds() (kinds []string) {
	for _, e := range s.Events {
		if !e.Around {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

var refusedStory = []string{
	"job_taken", "job_planned", "batch_refused", "part_replanned", "batch_refused", "part_replanned",
	"batch_refused", "part_replanned", "batch_refused", "part_replanned", "job_ended", "answer_sent",
}

func TestARefusalIsExplainedByEitherId(t *testing.T) {
	for _, id := range []string{refusedKey, refusedJob} {
		t.Run(id, func(t *testing.T) {
			is := is.New(t)
			story, ok := Tell(recorded(t), id)
			is.True(ok)
			is.Equal(story.kinds(), refusedStory)
			is.Equal(len(story.Jobs), 1)
			is.Equal(story.Keys, []string{refusedKey})
			is.Equal(len(story.Missing), 0)
			last := story.Events[len(story.Events)-1]
			is.Equal(last.Fields[event.HTTP], float64(503))
		})
	}
}

func TestAnUnknownIdHasNoStory(t *testing.T) {
	is := is.New(t)
	_, ok := Tell(recorded(t), "0000000000000000")
	is.True(!ok)
}

// TestClocksAreCompared has one node's clock 40 s behind: its lines are put back into their places.
func TestClocksAreCompared(t *testing.T) {
	is := is.New(t)
	const behind = 40 * time.Second
	lines := recorded(t)
	for i := range lines {
		if lines[i].Node == refusedBy {
			lines[i].At = lines[i].At.Add(-behind)
		}
	}
	story, ok := Tell(lines, refusedKey)
	is.True(ok)
	is.Equal(story.kinds(), refusedStory)
	at := slices.IndexFunc(story.Clocks, func(c Clock) bool { return c.Node == refusedBy })
	is.True(at >= 0)
	clock := story.Clocks[at]
	is.True(clock.Least != nil && clock.Most != nil)
	is.True(*clock.Least <= -behind && -behind <= *clock.Most) // The truth is within the bounds,
	is.True(*clock.Most-*clock.Least < 100*time.Millisecond)   // which jobs of some ten milliseconds make narrow.
}

func TestWhatIsMissingIsSaid(t *testing.T) {
	for name, c := range map[string]struct {
		without func(Line) bool
		want    string
	}{
		"a process": {
			func(l Line) bool { return l.Node == refusedBy },
			"no line of pool bahu57a/meseta-a/0: the log of its owner is not among the files, or the request did not reach it",
		},
		"the outcome": {
			func(l Line) bool { return l.Kind == event.JobEnded.Name },
			"no job_ended of " + refusedJob + ": its process was lost, its lines were dropped, or its log ends before",
		},
		"the job's owner": {
			func(l Line) bool { return l.Node == "frontend-meseta-c-1" },
			"no log of frontend-meseta-c-1 is among the files",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			story, ok := Tell(slices.DeleteFunc(recorded(t), c.without), refusedKey)
			is.True(ok)
			is.True(slices.Contains(story.Missing, c.want))
		})
	}
}

const started = `{"time":"2026-01-01T00:00:00.1Z","level":"DEBUG","msg":"task_sent","node":"b","job":"a.x.1.1.1","key":"k","task":0,"attempt":1,"endpoint":"e1"}
`

func TestDroppedLinesAndStartsWithoutAnEndAreSaid(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(started +
		`{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"lines_dropped","node":"b","dropped":"task_ended","lines":7}` + "\n"))
	is.NoErr(err)
	story, ok := Tell(lines, "k")
	is.True(ok)
	is.True(slices.Contains(story.Missing, "no end of task 0, attempt 1 at e1"))
	is.True(slices.Contains(story.Missing, "b dropped 7 lines of task_ended before 00:00:01.000"))
}

func TestLinesOfTheRequestsEndpointsAndProcessesAreTold(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(started +
		`{"time":"2026-01-01T00:00:00.2Z","level":"WARN","msg":"lease_lost","node":"b","endpoint":"e1","reason":"lapsed","runs":1}
{"time":"2026-01-01T00:00:00.2Z","level":"WARN","msg":"lease_lost","node":"b","endpoint":"e2","reason":"lapsed","runs":1}
{"time":"2026-01-01T00:00:00.3Z","level":"WARN","msg":"view_stale","node":"b"}
{"time":"2026-01-01T00:00:00.3Z","level":"WARN","msg":"view_stale","node":"c"}
{"time":"2026-01-01T00:00:09Z","level":"WARN","msg":"view_stale","node":"b"}
`))
	is.NoErr(err)
	story, ok := Tell(lines, "k")
	is.True(ok)
	var around []string
	for _, e := range story.Events {
		if e.Around {
			around = append(around, e.Kind+" "+e.Node)
		}
	}
	is.Equal(around, []string{"lease_lost b", "view_stale b"}) // Not of other endpoints, processes or times.
}

func TestStoriesAreWrittenForPeople(t *testing.T) {
	is := is.New(t)
	story, ok := Tell(recorded(t), refusedKey)
	is.True(ok)
	var out strings.Builder
	story.Write(&out)
	for _, want := range []string{
		"caller's id  " + refusedKey + "\n", "job          " + refusedJob + "\n",
		" !        3.1 ms  frontend-meseta-b-2      batch_refused        part=0 pool=bahu57a/meseta-b/0 tasks=2 slots=27 free=0 queued=31 ahead_ms=179.2",
		"missing      nothing that the lines tell of\n",
	} {
		is.True(strings.Contains(out.String(), want)) // Each is there.
	}
}

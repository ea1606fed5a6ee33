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

// Ids and a node in testdata/refused.log, which was recorded on the load-test bench: four pools with long
// queues refuse the job one after the other.
const (
	refusedKey = "c179d888c20be050"
	refusedJob = "frontend-meseta-c-1.r37djlq247zr.muor657l.2w.c11b8732ef015c15"
	refusedBy  = "frontend-meseta-a-2" // Owner of the second of the four pools.
)

func readRecordedLog(t *testing.T) []Line {
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

// kinds returns the kinds of the lines that are about the request itself.
func (t *Timeline) kinds() (kinds []string) {
	for _, e := range t.Events {
		if !e.Related {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

var refusedTimeline = []string{
	"job_taken", "job_planned", "batch_refused", "part_replanned", "batch_refused", "part_replanned",
	"batch_refused", "part_replanned", "batch_refused", "part_replanned", "job_ended", "answer_sent",
}

func TestRefusedJobIsFoundByJobIDAndByCallersID(t *testing.T) {
	for _, id := range []string{refusedKey, refusedJob} {
		t.Run(id, func(t *testing.T) {
			is := is.New(t)
			timeline, ok := BuildTimeline(readRecordedLog(t), id)
			is.True(ok)
			is.Equal(timeline.kinds(), refusedTimeline)
			is.Equal(len(timeline.Jobs), 1)
			is.Equal(timeline.Keys, []string{refusedKey})
			is.Equal(len(timeline.Missing), 0)
			last := timeline.Events[len(timeline.Events)-1]
			is.Equal(last.Fields[event.HTTP], float64(503))
		})
	}
}

func TestUnknownIDHasNoTimeline(t *testing.T) {
	is := is.New(t)
	_, ok := BuildTimeline(readRecordedLog(t), "0000000000000000")
	is.True(!ok)
}

// TestTimesOfASlowClockAreCorrected sets one node's clock 40 s back. The estimated offset must bring its lines
// back into their order.
func TestTimesOfASlowClockAreCorrected(t *testing.T) {
	is := is.New(t)
	const behind = 40 * time.Second
	lines := readRecordedLog(t)
	for i := range lines {
		if lines[i].Node == refusedBy {
			lines[i].At = lines[i].At.Add(-behind)
		}
	}
	timeline, ok := BuildTimeline(lines, refusedKey)
	is.True(ok)
	is.Equal(timeline.kinds(), refusedTimeline)
	index := slices.IndexFunc(timeline.Clocks, func(c Clock) bool { return c.Node == refusedBy })
	is.True(index >= 0)
	clock := timeline.Clocks[index]
	is.True(clock.Least != nil && clock.Most != nil)
	is.True(*clock.Least <= -behind && -behind <= *clock.Most) // The bounds contain the true offset.
	is.True(*clock.Most-*clock.Least < 100*time.Millisecond)   // Jobs of some ten milliseconds give narrow bounds.
}

func TestMissingLinesAreReported(t *testing.T) {
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
			timeline, ok := BuildTimeline(slices.DeleteFunc(readRecordedLog(t), c.without), refusedKey)
			is.True(ok)
			is.True(slices.Contains(timeline.Missing, c.want))
		})
	}
}

const taskSentLine = `{"time":"2026-01-01T00:00:00.1Z","level":"DEBUG","msg":"task_sent","node":"b","job":"a.x.1.1.1","key":"k","task":0,"attempt":1,"endpoint":"e1"}
`

func TestDroppedLinesAndUnendedStartsAreReported(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(taskSentLine +
		`{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"lines_dropped","node":"b","dropped":"task_ended","lines":7}` + "\n"))
	is.NoErr(err)
	timeline, ok := BuildTimeline(lines, "k")
	is.True(ok)
	is.True(slices.Contains(timeline.Missing, "no end of task 0, attempt 1 at e1"))
	is.True(slices.Contains(timeline.Missing, "b dropped 7 lines of task_ended before 00:00:01.000"))
}

func TestTimelineIncludesRelatedEndpointsAndProcesses(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(taskSentLine +
		`{"time":"2026-01-01T00:00:00.2Z","level":"WARN","msg":"lease_lost","node":"b","endpoint":"e1","reason":"lapsed","runs":1}
{"time":"2026-01-01T00:00:00.2Z","level":"WARN","msg":"lease_lost","node":"b","endpoint":"e2","reason":"lapsed","runs":1}
{"time":"2026-01-01T00:00:00.3Z","level":"WARN","msg":"view_stale","node":"b"}
{"time":"2026-01-01T00:00:00.3Z","level":"WARN","msg":"view_stale","node":"c"}
{"time":"2026-01-01T00:00:09Z","level":"WARN","msg":"view_stale","node":"b"}
`))
	is.NoErr(err)
	timeline, ok := BuildTimeline(lines, "k")
	is.True(ok)
	var related []string
	for _, e := range timeline.Events {
		if e.Related {
			related = append(related, e.Kind+" "+e.Node)
		}
	}
	is.Equal(related, []string{"lease_lost b", "view_stale b"}) // Not the lines of other endpoints, other processes or other times.
}

func TestTimelineIsWrittenAsText(t *testing.T) {
	is := is.New(t)
	timeline, ok := BuildTimeline(readRecordedLog(t), refusedKey)
	is.True(ok)
	var out strings.Builder
	timeline.Write(&out)
	for _, want := range []string{
		"caller's id  " + refusedKey + "\n", "job          " + refusedJob + "\n",
		" !        3.1 ms  frontend-meseta-b-2      batch_refused        part=0 pool=bahu57a/meseta-b/0 tasks=2 slots=27 free=0 queued=31 ahead_ms=179.2",
		"missing      nothing, as far as the log lines show\n",
	} {
		is.True(strings.Contains(out.String(), want)) // The output contains each of them.
	}
}

package logline

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/event"
)

const testRate = 4000

func logRoutine(log *slog.Logger) { event.JobTaken.Log(log, event.Text(event.Job, "j")) }
func logRefusal(log *slog.Logger) { event.JobRefused.Log(log, event.Text(event.Job, "j")) }

// countLines returns how many of the lines are of the kind, and how many lines of that kind were dropped
// according to the lines_dropped lines.
func countLines(t *testing.T, lines string, kind *event.Kind) (written, dropped int) {
	t.Helper()
	for line := range strings.Lines(lines) {
		var decoded struct {
			Msg     string
			Dropped string
			Lines   int
		}
		if err := json.Unmarshal([]byte(line), &decoded); err != nil {
			t.Fatal(err, line)
		}
		if decoded.Msg == kind.Name {
			written++
		}
		if decoded.Msg == event.LinesDropped.Name && decoded.Dropped == kind.Name {
			dropped += decoded.Lines
		}
	}
	return written, dropped
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var target bytes.Buffer
	l := New(&target, Options{PerSecond: testRate, Routine: true})
	log := l.Logger().With("node", "sj1-a")
	for i := range 100 {
		event.JobTaken.Log(log, event.Int(event.Tasks, i))
	}
	l.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(target.String()), "\n")
	is.Equal(len(lines), 100)
	for i, line := range lines {
		is.True(strings.Contains(line, `"node":"sj1-a","tasks":`+strconv.Itoa(i)+"}"))
	}
	logRoutine(log) // A line after Close neither blocks nor panics.
}

// blockedWriter is a target whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(line)
}

func TestBlockedTargetDropsLinesWithoutBlockingLoggers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &blockedWriter{unblock: make(chan struct{})}
		l := New(target, Options{PerSecond: testRate, Routine: true})
		log := l.Logger()
		for range 3 * queueCapacity {
			logRoutine(log)
			time.Sleep(time.Millisecond) // Virtual time. Stays within the rate, so that only the queue's capacity limits the lines.
		}
		for range queueCapacity {
			logRefusal(log)
			time.Sleep(time.Millisecond) // Virtual time. Stays within the rate, as above.
		}
		close(target.unblock)
		time.Sleep(2 * time.Second) // Virtual time. Dropped lines are reported in a later second.
		l.Close(time.Second)
		served, dropped := countLines(t, target.String(), event.JobTaken)
		is.Equal(served+dropped, 3*queueCapacity)
		is.True(served >= routineShare*queueCapacity-10) // Some places are taken by lines_dropped lines.
		refused, lost := countLines(t, target.String(), event.JobRefused)
		is.Equal(refused+lost, queueCapacity)
		is.True(refused >= (1-routineShare)*queueCapacity-10)
		is.Equal(l.Dropped(), int64(dropped+lost))
	})
}

func TestLinesOverTheRateAreDroppedAndCountedByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var target bytes.Buffer
		l := New(&target, Options{PerSecond: testRate, Routine: true})
		log := l.Logger()
		for range testRate {
			logRoutine(log)
			synctest.Wait() // Until the line is written.
		}
		for range testRate {
			logRefusal(log)
			synctest.Wait() // As above.
		}
		time.Sleep(time.Second) // Virtual time. The next second has a new count.
		logRefusal(log)
		l.Close(time.Second)
		written, dropped := countLines(t, target.String(), event.JobTaken)
		is.Equal(written, int(routineShare*testRate))
		is.Equal(dropped, testRate-int(routineShare*testRate))
		written, dropped = countLines(t, target.String(), event.JobRefused)
		is.Equal(written, testRate-int(routineShare*testRate)+1)
		is.Equal(dropped, int(routineShare*testRate))
	})
}

func TestCloseReportsLinesDroppedInTheLastSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var target bytes.Buffer
		l := New(&target, Options{PerSecond: 10, Routine: true})
		for range 100 {
			logRefusal(l.Logger())
		}
		l.Close(time.Second)
		written, dropped := countLines(t, target.String(), event.JobRefused)
		is.Equal(written, 10)
		is.Equal(dropped, 90)
	})
}

func TestOptionsSelectWhichLinesAreWritten(t *testing.T) {
	for name, want := range map[string]struct {
		options Options
		lines   int
	}{
		"all":             {Options{PerSecond: testRate, Routine: true}, 2},
		"without routine": {Options{PerSecond: testRate}, 1},
		"none":            {Options{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var target bytes.Buffer
			l := New(&target, want.options)
			logRoutine(l.Logger())
			logRefusal(l.Logger())
			l.Close(time.Minute)
			is.Equal(strings.Count(target.String(), "\n"), want.lines)
		})
	}
}

func TestSetOptionsAppliesToLaterLines(t *testing.T) {
	is := is.New(t)
	var target bytes.Buffer
	l := New(&target, Options{PerSecond: testRate})
	log := l.Logger()
	logRoutine(log)
	l.SetOptions(Options{PerSecond: testRate, Routine: true})
	logRoutine(log)
	l.SetOptions(Options{})
	logRefusal(log)
	l.Close(time.Minute)
	written, _ := countLines(t, target.String(), event.JobTaken)
	is.Equal(written, 1)
	is.Equal(strings.Count(target.String(), "\n"), 1)
}

func BenchmarkLine(b *testing.B) {
	for name, options := range map[string]Options{
		"written": {PerSecond: 1 << 30, Routine: true}, "dropped": {PerSecond: 1, Routine: true}, "off": {},
	} {
		b.Run(name, func(b *testing.B) {
			l := New(io.Discard, options)
			log := l.Logger().With("node", "sj1-a")
			for b.Loop() {
				event.TaskSent.Log(log, event.Text(event.Job, "sj1-a.abcdefabcdef.1.17.0123456789abcdef"),
					event.Int(event.Task, 3), event.Text(event.Endpoint, "finder-17"), event.MS(event.QueuedMS, 1300*time.Microsecond))
			}
			b.ReportMetric(float64(l.Dropped())/float64(b.N), "dropped/op")
			l.Close(time.Minute)
		})
	}
}

// countingWriter counts the calls of Write, each of which is a system call at a file.
type countingWriter struct{ writes int }

func (w *countingWriter) Write(line []byte) (int, error) {
	w.writes++
	return len(line), nil
}

// Pattern: a busy owner of a pool, which logs hundreds of routine lines a second. They are written together; a line about
// trouble is written at once, with those before it.
func TestRoutineLinesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &countingWriter{}
		l := New(target, Options{PerSecond: testRate, Routine: true})
		log := l.Logger()
		for range 200 {
			logRoutine(log)
			time.Sleep(5 * time.Millisecond) // Virtual time. The rate of lines of a busy owner.
		}
		synctest.Wait()
		is.True(target.writes <= int(time.Second/gatherTime)+1)
		logRoutine(log)
		synctest.Wait()
		before := target.writes
		logRefusal(log)
		synctest.Wait()
		is.Equal(target.writes, before+1)
		l.Close(time.Minute)
	})
}

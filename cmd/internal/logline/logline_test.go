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

func routine(log *slog.Logger) { event.JobTaken.Log(log, event.Text(event.Job, "j")) }
func trouble(log *slog.Logger) { event.JobRefused.Log(log, event.Text(event.Job, "j")) }

// count returns how many of the lines are of the kind, and what lines_dropped says of it.
func count(t *testing.T, lines string, kind *event.Kind) (written, dropped int) {
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

func TestLinesComeInTheirOrder(t *testing.T) {
	is := is.New(t)
	var target bytes.Buffer
	l := New(&target, Options{PerSecond: testRate, Routine: true})
	log := l.Logger().With("node", "sj1-a")
	for i := range 100 {
		event.JobTaken.Log(log, event.Count(event.Tasks, i))
	}
	l.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(target.String()), "\n")
	is.Equal(len(lines), 100)
	for i, line := range lines {
		is.True(strings.Contains(line, `"node":"sj1-a","tasks":`+strconv.Itoa(i)+"}"))
	}
	routine(log) // Neither blocks nor fails.
}

// stuck is a target that takes nothing until it is freed.
type stuck struct {
	free chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(line)
}

func TestAStuckTargetHoldsNobodyUpAndRoutineLinesLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &stuck{free: make(chan struct{})}
		l := New(target, Options{PerSecond: testRate, Routine: true})
		log := l.Logger()
		for range 3 * room {
			routine(log)
			time.Sleep(time.Millisecond) // On the virtual clock: within the rate, so that the room alone is the bound.
		}
		for range room {
			trouble(log)
			time.Sleep(time.Millisecond) // On the virtual clock: within the rate, as for the lines before.
		}
		close(target.free)
		time.Sleep(2 * time.Second) // On the virtual clock: dropped lines are told of in a later second.
		l.Close(time.Second)
		served, dropped := count(t, target.String(), event.JobTaken)
		is.Equal(served+dropped, 3*room)
		is.True(served >= routinePart*room-10) // Some places went to lines that tell of dropped ones.
		refused, lost := count(t, target.String(), event.JobRefused)
		is.Equal(refused+lost, room)
		is.True(refused >= (1-routinePart)*room-10)
		is.Equal(l.Dropped(), int64(dropped+lost))
	})
}

func TestTheVolumeIsBoundedAndTheRestIsCountedByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var target bytes.Buffer
		l := New(&target, Options{PerSecond: testRate, Routine: true})
		log := l.Logger()
		for range testRate {
			routine(log)
			synctest.Wait() // Until it is written.
		}
		for range testRate {
			trouble(log)
			synctest.Wait() // As above.
		}
		time.Sleep(time.Second) // On the virtual clock: the next second has a new count.
		trouble(log)
		l.Close(time.Second)
		written, dropped := count(t, target.String(), event.JobTaken)
		is.Equal(written, int(routinePart*testRate))
		is.Equal(dropped, testRate-int(routinePart*testRate))
		written, dropped = count(t, target.String(), event.JobRefused)
		is.Equal(written, testRate-int(routinePart*testRate)+1)
		is.Equal(dropped, int(routinePart*testRate))
	})
}

func TestWhatIsDroppedInTheLastSecondIsToldAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var target bytes.Buffer
		l := New(&target, Options{PerSecond: 10, Routine: true})
		for range 100 {
			trouble(l.Logger())
		}
		l.Close(time.Second)
		written, dropped := count(t, target.String(), event.JobRefused)
		is.Equal(written, 10)
		is.Equal(dropped, 90)
	})
}

func TestWhatIsWrittenCanBeChosen(t *testing.T) {
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
			routine(l.Logger())
			trouble(l.Logger())
			l.Close(time.Minute)
			is.Equal(strings.Count(target.String(), "\n"), want.lines)
		})
	}
}

func TestTheBoundsCanBeChanged(t *testing.T) {
	is := is.New(t)
	var target bytes.Buffer
	l := New(&target, Options{PerSecond: testRate})
	log := l.Logger()
	routine(log)
	l.Bound(Options{PerSecond: testRate, Routine: true})
	routine(log)
	l.Bound(Options{})
	trouble(log)
	l.Close(time.Minute)
	written, _ := count(t, target.String(), event.JobTaken)
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
					event.Count(event.Task, 3), event.Text(event.Endpoint, "finder-17"), event.MS(event.QueuedMS, 1300*time.Microsecond))
			}
			b.ReportMetric(float64(l.Dropped())/float64(b.N), "dropped/op")
			l.Close(time.Minute)
		})
	}
}

package logline

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLinesComeInTheirOrder(t *testing.T) {
	is := is.New(t)
	var target bytes.Buffer
	w := New(&target)
	for i := range 100 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(target.String()), "\n")
	is.Equal(len(lines), 100)
	is.Equal(lines[99], "line 99")
	fmt.Fprintln(w, "after the end") // Neither blocks nor fails.
}

// stuck is a target that takes nothing until it is freed.
type stuck struct {
	free  chan struct{}
	lines int
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.free
	s.lines++
	return len(line), nil
}

func TestAStuckTargetHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &stuck{free: make(chan struct{})}
		w := New(target)
		for range 3 * room {
			fmt.Fprintln(w, "line")
			// On the bubble's virtual clock: a line each millisecond is within the rate, so that the room
			// alone bounds what is kept.
			time.Sleep(time.Millisecond)
		}
		close(target.free)
		time.Sleep(time.Second) // On the virtual clock: dropped lines are told of once a second.
		fmt.Fprintln(w, "line") // Tells of those that were dropped.
		w.Close(time.Second)
		is.True(target.lines >= room)
		is.True(target.lines < room+10)
	})
}

func TestTheVolumeIsBoundedAndTheRestIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var target bytes.Buffer
		w := New(&target)
		for range perSecond + 1000 {
			fmt.Fprintln(w, "line")
			synctest.Wait() // Until it is written.
		}
		time.Sleep(time.Second) // On the virtual clock: the next second has a new count.
		fmt.Fprintln(w, "line")
		w.Close(time.Second)
		is.Equal(strings.Count(target.String(), "line\n"), perSecond+1)
		is.True(strings.Contains(target.String(), `"msg":"log lines dropped","count":1000`))
	})
}

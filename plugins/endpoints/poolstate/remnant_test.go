package poolstate

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// submitNeeding submits a job of the given number of tasks, each with the same needs.
func (h *harness) submitNeeding(tasks, milliCores int) Effects {
	h.jobs++
	b := model.Batch{
		ID: model.BatchID{Job: model.JobID(strconv.Itoa(h.jobs))}, Pool: finderPool, Team: "t",
		Deadline: h.now.Add(time.Hour), MaxFailures: 1,
	}
	for i := range tasks {
		b.Tasks = append(b.Tasks, model.Task{Index: i, Needs: model.Needs{MilliCores: milliCores}})
	}
	return h.step(Submitted{b, model.BuiltInProfile()})
}

// Guards against issue 24: an endpoint with room for a queued task got none, since it had none for a task with average needs.
func TestTaskStartsWhereLessThanAverageNeedsAreLeft(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 16000)
	is.Equal(len(h.submitNeeding(2, 8500).Starts), 1)
	is.Equal(len(h.submitNeeding(1, 7500).Starts), 1)
}

// Guards against issue 24: a quarter of the cores of a busy pool stayed idle while tasks that fitted there were queued.
func TestBusyPoolUsesItsCores(t *testing.T) {
	const (
		small, large = 16000, 24000 // Cores of an endpoint, in thousandths.
		endpoints    = 12
		backlog      = 40 // Queued tasks at which no further job is submitted.
		rounds       = 2000
		leastUse     = 0.8
	)
	is := is.New(t)
	h := newHarness()
	random := rand.New(rand.NewPCG(1, 1))
	has := 0
	for i := range endpoints {
		cores := small
		if i%3 == 0 {
			cores = large
		}
		has += cores
		h.announceLeased(model.EndpointID(strconv.Itoa(i)), cores)
	}
	var running []Start
	used := 0.0
	for range rounds {
		for h.queue.count < backlog {
			needs := min(max(int(8000+1600*random.NormFloat64()), 4000), 12000)
			running = append(running, h.submitNeeding(1+random.IntN(12), needs).Starts...)
		}
		for _, e := range h.endpointList {
			used += float64(e.taken.MilliCores) / float64(has) / rounds
		}
		i := random.IntN(len(running))
		ended := running[i]
		running = append(running[:i], running[i+1:]...)
		running = append(running, h.reply(ended, port.TaskDone).Starts...)
	}
	t.Logf("%.2f of the cores are used", used)
	is.True(used > leastUse)
}

// Guards against issue 24: tasks were put on endpoints with nothing else to do, and none was left for tasks that need more than
// half an endpoint.
func TestTaskGoesWhereItLeavesTheLeast(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.announceLeased("a", 16000)
	h.announceLeased("b", 24000)
	is.Equal(h.submitNeeding(1, 8000).Starts[0].Endpoint, model.EndpointID("a"))
	is.Equal(h.submitNeeding(1, 7500).Starts[0].Endpoint, model.EndpointID("a")) // Endpoint a has less left.
	is.Equal(len(h.submitNeeding(1, 20000).Starts), 1)
}

package leastwait

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// speedPool is a placer with endpoints of two kinds, of which the slow one takes 2.4 times as long, and what each has free.
type speedPool struct {
	*placer
	loads map[model.EndpointID]port.EndpointLoad
}

func newSpeedPool(fast, slow int) *speedPool {
	p := &speedPool{newPlacer(1), map[model.EndpointID]port.EndpointLoad{}}
	for i := range fast {
		p.set(port.EndpointLoad{ID: model.EndpointID("fast" + strconv.Itoa(i)), Slots: 2, Free: 2, Factor: 0.62})
	}
	for i := range slow {
		p.set(port.EndpointLoad{ID: model.EndpointID("slow" + strconv.Itoa(i)), Slots: 3, Free: 3, Factor: 1.5})
	}
	return p
}

func (p *speedPool) set(load port.EndpointLoad) {
	p.loads[load.ID] = load
	p.Update(load)
}

// place places a task with the given run time and time left, and returns the first letter of its endpoint, or "" and the wait.
func (p *speedPool) place(runMS, leftMS, ahead int) (kind string, waits time.Duration) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	choice, ok := p.Pick(port.PickRequest{Run: ms(runMS), Left: ms(leftMS), Ahead: ahead})
	if !ok {
		return "", choice.Waits
	}
	load := p.loads[choice.Endpoint]
	load.Free--
	p.set(load)
	return string(choice.Endpoint[:1]), 0
}

// Guards against long tasks that miss their objectives at slow endpoints, since short tasks have taken the fast ones.
func TestShortTasksLeaveTheLastFastSlotsToLongTasks(t *testing.T) {
	is := is.New(t)
	p := newSpeedPool(3, 2)
	kinds := ""
	for range 8 {
		kind, _ := p.place(50, 140, 0)
		kinds += kind
	}
	is.Equal(kinds, "fffffsss") // The fastest, until less than a third of 6 fast slots is free.
	kind, _ := p.place(800, 1100, 0)
	is.Equal(kind, "f")
}

// Guards against a task that is late at a slow endpoint although a fast one would have had room soon, and against one that waits for
// longer than this helps: then the task behind others, or without time left, takes what is free.
func TestLongTaskWaitsForAFastEndpointOnlyWhileThatHelps(t *testing.T) {
	is := is.New(t)
	p := newSpeedPool(2, 2)
	for range 4 {
		kind, _ := p.place(800, 1100, 0)
		is.Equal(kind, "f")
	}
	kind, waits := p.place(800, 1100, 0)
	is.Equal(kind, "")
	is.True(waits > 300*time.Millisecond && waits < 500*time.Millisecond)
	kind, _ = p.place(800, 1100, 4) // Four tasks wait already for as many slots.
	is.Equal(kind, "s")
	kind, _ = p.place(800, 550, 0)
	is.Equal(kind, "s")
	kind, _ = p.place(800, 0, 0) // No objective.
	is.Equal(kind, "s")
}

// Guards against a task that waits for a kind of endpoint which has left or gets no work.
func TestTaskDoesNotWaitForEndpointsWithoutSlots(t *testing.T) {
	is := is.New(t)
	p := newSpeedPool(1, 1)
	p.set(port.EndpointLoad{ID: "fast0", Factor: 0.62})
	kind, _ := p.place(800, 1100, 0)
	is.Equal(kind, "s")
	p.Remove("fast0")
	p.Remove("slow0")
	is.True(p.first >= p.end)
	_, waits := p.place(800, 1100, 0)
	is.Equal(waits, time.Duration(0))
}

// Guards against other choices than without learned speeds where endpoints are equally fast.
func TestEqualFactorsPlaceByFreeSlotsAlone(t *testing.T) {
	is := is.New(t)
	learned, plain, random := newPlacer(7), newPlacer(7), rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		load := port.EndpointLoad{ID: model.EndpointID(strconv.Itoa(i % 20)), Slots: 8, Free: random.IntN(9), Remnant: random.IntN(9) == 0}
		plain.Update(load)
		load.Factor = 1
		learned.Update(load)
		run := time.Duration(random.IntN(1000))
		got, ok := learned.Pick(port.PickRequest{Run: run, Left: time.Duration(random.IntN(1000)), Ahead: random.IntN(3)})
		want, wanted := plain.Pick(port.PickRequest{Run: run})
		is.Equal(got, want)
		is.Equal(ok, wanted)
	}
}

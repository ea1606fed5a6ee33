package poolstate

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/admission/deadline"
	"redwingpulley/plugins/endpoints/speed"
	"redwingpulley/plugins/placement/leastwait"
)

const (
	benchSlots      = 8
	benchBatchTasks = 16
	benchTeams      = 55
	benchRunTime    = 300 * time.Millisecond // Run time of each task.
	// benchStartsPerAnnouncement is the number of starts between two announcements in the pool, such that
	// each endpoint announces itself once a second.
	benchStartsPerAnnouncement = int(benchSlots * time.Second / benchRunTime)
)

// loadGenerator keeps all slots of a pool taken and a few batches queued. It advances by one task start
// at a time.
type loadGenerator struct {
	machine *Machine
	now     time.Time
	batches []Submitted
	next    int
	sent    []Start // Tasks at endpoints from index head on, the oldest first.
	head    int
	fx      Effects
	starts  int
}

func newLoadGenerator(endpoints int) *loadGenerator {
	return generateLoadFor(Created{Pool: finderPool, Owner: "sj1-a", Seed: 1}, endpoints)
}

func generateLoadFor(created Created, endpoints int) *loadGenerator {
	l := &loadGenerator{machine: created.Machine(shipped), now: start}
	l.announceAll(endpoints)
	profile := model.BuiltInProfile()
	slots := endpoints * benchSlots
	for i := range 2 * (slots/benchBatchTasks + benchTeams) {
		l.batches = append(l.batches, Submitted{Batch: benchBatch(i), Profile: profile})
	}
	for len(l.sent) < slots {
		l.submit()
	}
	return l
}

func (l *loadGenerator) announceAll(endpoints int) {
	for i := range endpoints {
		l.step(Announced{Endpoint: model.Endpoint{
			ID: model.EndpointID("finder-" + strconv.Itoa(i)), Address: strconv.Itoa(i), Slots: benchSlots, State: model.EndpointServing,
		}})
	}
}

func benchBatch(i int) model.Batch {
	job := model.JobID(fmt.Sprintf("sj1-a.abcdefabcdef.1.%d.0123456789abcdef", i))
	return model.Batch{
		ID: model.BatchID{Job: job}, Team: model.TeamID("team-" + strconv.Itoa(i%benchTeams)),
		Tasks: benchTasks(), Deadline: start.Add(24 * time.Hour),
	}
}

func benchTasks() []model.Task {
	tasks := make([]model.Task, benchBatchTasks)
	for i := range tasks {
		tasks[i] = model.Task{Index: i, Declared: time.Duration(50+10*i) * time.Millisecond}
	}
	return tasks
}

func (l *loadGenerator) step(event Event) {
	l.machine.Step(l.now, event, &l.fx)
	l.sent = append(l.sent, l.fx.Starts...)
}

func (l *loadGenerator) submit() {
	l.step(l.batches[l.next%len(l.batches)])
	l.next++
}

// start makes the pool start one more task: it ends the oldest task at an endpoint, and before that
// submits a new batch if few tasks are queued.
func (l *loadGenerator) start() {
	l.now = l.now.Add(benchRunTime / time.Duration(len(l.machine.endpointList)*benchSlots))
	l.starts++
	if l.starts%benchStartsPerAnnouncement == 0 {
		e := l.machine.endpointList[l.starts/benchStartsPerAnnouncement%len(l.machine.endpointList)]
		l.step(Announced{Endpoint: e.Endpoint})
	}
	if l.machine.queue.count < benchTeams {
		l.submit()
	}
	s := l.sent[l.head]
	l.head++
	if l.head == cap(l.sent)/2 {
		l.sent = l.sent[:copy(l.sent, l.sent[l.head:])]
		l.head = 0
	}
	l.step(Replied{Task: s.Task, Attempt: s.Attempt, Reply: port.TaskReply{State: port.TaskDone}})
}

// BenchmarkStart measures all decisions of a pool for one task: its share of the batch's admission, the
// queue, the placement, the end and the update of the estimates, and of the announcements that arrive
// meanwhile. An iteration is a task start.
func BenchmarkStart(b *testing.B) {
	for _, endpoints := range []int{50, 600, 5000} {
		b.Run(strconv.Itoa(endpoints), func(b *testing.B) {
			l := newLoadGenerator(endpoints)
			b.ReportAllocs()
			for b.Loop() {
				l.start()
			}
		})
	}
}

// BenchmarkStartLearningSpeeds is BenchmarkStart with 600 endpoints, whose speeds are learned.
func BenchmarkStartLearningSpeeds(b *testing.B) {
	l := newLoadGenerator(600)
	l.machine.speeds = speed.NewTable()
	b.ReportAllocs()
	for b.Loop() {
		l.start()
	}
}

// BenchmarkStartSeparating is BenchmarkStart in a pool that learns which of its 55 teams slow each other down.
func BenchmarkStartSeparating(b *testing.B) {
	for _, endpoints := range []int{50, 600, 5000} {
		b.Run(strconv.Itoa(endpoints), func(b *testing.B) {
			l := generateLoadFor(Created{Pool: finderPool, Owner: "sj1-a", Seed: 1, SeparateInterfering: true}, endpoints)
			b.ReportAllocs()
			for b.Loop() {
				l.start()
			}
		})
	}
}

// BenchmarkStartParallel is BenchmarkStart with a pool for each goroutine, as in the dispatcher, where
// pools are shards.
func BenchmarkStartParallel(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		l := newLoadGenerator(600)
		for pb.Next() {
			l.start()
		}
	})
}

// BenchmarkAnnounce measures an announcement of one of the pool's endpoints.
func BenchmarkAnnounce(b *testing.B) {
	for _, endpoints := range []int{50, 600, 5000} {
		b.Run(strconv.Itoa(endpoints), func(b *testing.B) {
			l := newLoadGenerator(endpoints)
			e := l.machine.endpointList[endpoints/2].Endpoint
			b.ReportAllocs()
			for b.Loop() {
				l.now = l.now.Add(time.Microsecond)
				l.machine.Step(l.now, Announced{Endpoint: e}, &l.fx)
			}
		})
	}
}

// BenchmarkPlacer measures one pick and the updates that go with it.
func BenchmarkPlacer(b *testing.B) {
	for _, endpoints := range []int{50, 600, 5000} {
		b.Run(strconv.Itoa(endpoints), func(b *testing.B) {
			placer := leastwait.Policy{}.NewPlacer(1)
			load := make(map[model.EndpointID]port.EndpointLoad)
			for i := range endpoints {
				e := port.EndpointLoad{ID: model.EndpointID(strconv.Itoa(i)), Slots: benchSlots, Free: 1 + i%benchSlots}
				load[e.ID] = e
				placer.Update(e)
			}
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := placer.Pick(port.PickRequest{})
				e := load[choice.Endpoint]
				e.Free--
				placer.Update(e)
				e.Free++
				placer.Update(e)
			}
		})
	}
}

// BenchmarkAdmission measures the admission decision on a batch.
func BenchmarkAdmission(b *testing.B) {
	request := port.AdmissionRequest{
		Tasks: 16, Remaining: time.Second, Expected: 300 * time.Millisecond, EndWithin: func(time.Duration) float64 { return 1 }, Work: 4 * time.Second,
		Slots: 400, Fits: true, Ahead: 100 * time.Second, QueuedTasks: 200, QueueLimit: 4096,
	}
	b.ReportAllocs()
	for b.Loop() {
		deadline.Policy{}.Admit(request)
	}
}

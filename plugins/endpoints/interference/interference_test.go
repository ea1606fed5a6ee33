package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

const (
	simStep    = 10 * time.Millisecond
	simWorkers = 12
	simSlots   = 3
	simMeanRun = 200 * time.Millisecond
)

// simulation runs tasks of four classes on workers, and has the table learn from them.
type simulation struct {
	table   *Table
	classes [4]Class
	random  *rand.Rand
	now     time.Time
	factor  func(slowed, slowing int) float64 // Slow-down by one task beside it.
	load    func(at time.Duration) float64    // Share of the slots in use that the arrivals aim at.
	length  [4]float64                        // Run times of the classes, in multiples of simMeanRun.
	noise   float64                           // Standard deviation of the logarithm of run times.
	tail    float64                           // Share of the tasks that take 7 times as long.
	speed   func(worker int, at time.Duration) float64
	workers [simWorkers][]*simTask
	offsets [simWorkers]Worker
	beside  map[[2]int]int // Runs of the first class that ended beside a task of the second.
	changes []Change
}

type simTask struct {
	class    int
	left     float64 // Seconds of work left on a worker of speed 1 without others beside it.
	started  time.Time
	exposure [4]float64 // Seconds beside tasks of each class.
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		table: New(), random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), noise: 0.25, beside: map[[2]int]int{}, length: [4]float64{1, 1, 1, 1},
		factor: func(int, int) float64 { return 1 },
		load:   func(time.Duration) float64 { return 0.7 },
		speed:  func(int, time.Duration) float64 { return 1 },
	}
	for i := range s.classes {
		s.classes[i] = s.table.ClassOf(s.now, model.TeamID(rune('a'+i)))
	}
	return s
}

// apart returns the classes that are kept apart from class a.
func (s *simulation) apart() ClassSet { return s.table.KeptApart(s.classes[0]) }

// run advances the simulation.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.arrive()
		for w := range s.workers {
			s.advance(w)
		}
	}
}

// arrive starts tasks of random classes on random workers with a free slot.
func (s *simulation) arrive() {
	at := s.now.Sub(time.Unix(0, 0))
	rate := s.load(at) * simWorkers * simSlots * simStep.Seconds() / simMeanRun.Seconds()
	for ; rate > s.random.Float64(); rate-- {
		w := s.random.IntN(simWorkers)
		if len(s.workers[w]) == simSlots {
			continue
		}
		class := s.random.IntN(4)
		work := simMeanRun.Seconds() * s.length[class] * math.Exp(s.noise*s.random.NormFloat64())
		if s.random.Float64() < s.tail {
			work *= 7
		}
		s.workers[w] = append(s.workers[w], &simTask{class: class, left: work, started: s.now})
	}
}

// advance runs the tasks of a worker for a step.
func (s *simulation) advance(w int) {
	for i, t := range s.workers[w] {
		rate := s.speed(w, s.now.Sub(time.Unix(0, 0)))
		for j, u := range s.workers[w] {
			if i != j {
				rate /= s.factor(t.class, u.class)
				t.exposure[u.class] += simStep.Seconds()
			}
		}
		t.left -= rate * simStep.Seconds()
	}
	s.workers[w] = slices.DeleteFunc(s.workers[w], func(t *simTask) bool {
		if t.left <= 0 {
			s.learn(w, t)
		}
		return t.left <= 0
	})
}

func (s *simulation) learn(w int, t *simTask) {
	took := s.now.Add(simStep).Sub(t.started)
	run := Run{Class: s.classes[t.class], Took: took, Expected: simMeanRun, Worker: &s.offsets[w], Beside: &Beside{}}
	for c, beside := range t.exposure {
		run.Beside[s.classes[c]] = float32(beside)
		if beside > 0 {
			s.beside[[2]int{t.class, c}]++
		}
	}
	s.changes = append(s.changes, s.table.Learn(s.now, run)...)
}

// planted slows runs of class 0 down by 1.5 beside a task of class 1, and the reverse if mutual.
func planted(mutual bool) func(slowed, slowing int) float64 {
	return func(slowed, slowing int) float64 {
		if slowed == 0 && slowing == 1 || mutual && slowed == 1 && slowing == 0 {
			return 1.5
		}
		return 1
	}
}

// runsUntilFound returns how many runs of class a had been beside b for a part of their time when the pair was found.
func (s *simulation) runsUntilFound(most int) int {
	for s.beside[[2]int{0, 1}] < most && s.apart() == 0 {
		s.run(100 * time.Millisecond)
	}
	return s.beside[[2]int{0, 1}]
}

// Guards against a pair of classes that slow each other down for long before it is found, and against others that are found instead.
func TestPlantedPairIsFoundWithinRuns(t *testing.T) {
	for _, mutual := range []bool{false, true} {
		t.Run(fmt.Sprintf("mutual=%v", mutual), func(t *testing.T) {
			is := is.New(t)
			var runs []int
			for seed := range uint64(21) {
				s := newSimulation(seed)
				s.factor = planted(mutual)
				runs = append(runs, s.runsUntilFound(300))
				is.Equal(s.apart(), ClassSet(1<<s.classes[1])) // Found after at most 300 runs, beside it for a third of their time.
				s.run(30 * time.Second)
				for _, c := range s.changes {
					is.True(c.Found && s.factor(int(c.Slowed[0]-'a'), int(c.Slowing[0]-'a')) > 1)
					is.True(c.SlowDown > 1.2 && c.SlowDown < 1.9)
				}
				is.Equal(s.table.Pairs() == 2, mutual)
			}
			slices.Sort(runs)
			t.Logf("runs until found: %v", runs)
			is.True(runs[len(runs)/2] <= 150) // As many as 50 whole runs beside it.
		})
	}
}

// Guards against a pair that is not found since tasks of the slowed class are short, so that none runs beside another of its class.
func TestPairOfShortAndLongTasksIsFound(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		s := newSimulation(seed)
		s.factor, s.length = planted(false), [4]float64{0.25, 1, 4, 1}
		s.load = func(time.Duration) float64 { return 0.45 }
		s.run(time.Minute)
		is.Equal(s.apart(), ClassSet(1<<s.classes[1]))
		is.Equal(s.table.Pairs(), 1)
	}
}

// Guards against classes that are kept apart for nothing: on workers of two speeds that stall at times, with load that comes in waves
// and slows everything down at its peaks, and with run times of a long tail.
func TestNoiseYieldsNoPair(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed)
		s.noise, s.tail = 0.4, 0.03
		s.load = func(at time.Duration) float64 { return 0.6 + 0.35*math.Sin(2*math.Pi*at.Seconds()/17) }
		s.speed = func(w int, at time.Duration) float64 {
			speed := 1.3 - 0.3*s.load(at)
			if w%3 == 0 {
				speed /= 2.4
			}
			if int(at.Seconds())%(5+w) == 0 {
				speed /= 8 // A second of every 5 to 16.
			}
			return speed
		}
		s.run(2 * time.Minute)
		if len(s.changes) > 0 {
			t.Errorf("seed %d: %+v", seed, s.changes)
		}
	}
}

// Guards against a pair that stays separated after its cause has gone, whether it still runs side by side or not.
func TestPairThatCeasesIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1)
	s.factor = planted(true)
	s.run(30 * time.Second)
	is.Equal(s.table.Pairs(), 2)
	s.factor = func(int, int) float64 { return 1 }
	s.run(3 * time.Minute)
	is.Equal(s.table.Pairs(), 0)
	is.Equal(s.apart(), ClassSet(0))

	s.factor = planted(true)
	s.run(2 * time.Minute)
	is.Equal(s.table.Pairs(), 2)
	for i := range 400 { // Runs of the classes, none beside another.
		s.table.Learn(s.now.Add(time.Duration(i)*time.Second), Run{Class: s.classes[i%4], Took: simMeanRun, Expected: simMeanRun, Worker: &s.offsets[0], Beside: &Beside{}})
	}
	is.Equal(s.table.Pairs(), 0)
}

// Guards against memory that grows with the number of teams, and against a full table that takes in no new class for ever.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table, now := New(), time.Unix(0, 0)
	classOf := func(i int) Class { return table.ClassOf(now, model.TeamID(fmt.Sprint(i))) }
	for i := range maxClasses {
		is.Equal(classOf(i), Class(i))
	}
	is.Equal(classOf(maxClasses), Others)
	table.Learn(now, Run{Class: Others, Took: time.Second, Expected: time.Second, Beside: &Beside{}})
	now = now.Add(idleTime)
	is.Equal(classOf(maxClasses), Class(0)) // In place of the first one that is idle.
	is.Equal(len(table.index), maxClasses)
}

// Package interference decides which classes of tasks slow each other down on one machine. The load that it addresses is a
// mix of classes on workers that run two or three tasks at once, where one class takes a resource that another needs and
// that no limit divides, such as memory bandwidth. It learns from runs that ended by themselves; see
// docs/design/interference.md.
package interference

import (
	"math"
	"math/bits"
	"time"

	"redwingpulley/kernel/model"
)

const (
	maxClasses = 32 // Highest number of classes, and so of 992 ordered pairs; ClassSet has a bit for each.
	// halfLife is the time in which the weight of a run falls by half.
	halfLife = 30 * time.Second
	// idleTime is how long a class without runs keeps its place in a full table; its runs weigh a sixteenth by then.
	idleTime = 4 * halfLife
	// assessInterval is the least time between two assessments of a class.
	assessInterval = time.Second

	// foundSlowDown is the slow-down above which a pair interferes. A job's latency objective is 1.6 times its run time, so
	// this takes a third of the margin of 0.6.
	foundSlowDown = 1.2
	// goneSlowDown is the estimate below which a pair no longer interferes. It is far enough below foundSlowDown that noise
	// does not make a pair come and go.
	goneSlowDown = 1.1
	// boundErrors is the distance of the lower confidence bound from the estimate in standard errors; 992 pairs are assessed again and
	// again. In 33 hours of simulated noise, 3 errors found one of 12 pairs; 3.5 found none in 50 hours.
	boundErrors = 3.5
	// minRuns is the least weight of the runs beside a class with which an estimate is made, and enoughRuns that with which
	// a pair is found. A run beside a task of the class for half of its time counts one half.
	minRuns    = 8
	enoughRuns = 20

	// maxDeviation bounds the logarithm of a run time over the expected one, so that a long tail does not decide.
	maxDeviation = 1.0
	// warmUpRuns is how many runs of a class give its first typical deviation, and are not used otherwise.
	warmUpRuns = 16
	// maxWarmUp bounds the deviations of these runs: an expected time may be a declared one, which is off by up to ten times.
	maxWarmUp = 3.0

	typicalWeight = 1.0 / 128 // Weight of a run in the typical deviation of its class.
	trendWeight   = 1.0 / 64  // Weight of a run in the trend of all classes on all workers.
	workerWeight  = 1.0 / 16  // Weight of a run in the offset of its worker.
)

// Class is the number of a class in a Table, or Others.
type Class int

// Others is the number of all classes for which a full table has no place.
const Others Class = maxClasses

// ClassSet is a set of the classes of a table, with a bit for each number.
type ClassSet uint32

// Contains reports whether the set contains the class; it never contains Others.
func (s ClassSet) Contains(c Class) bool { return s>>c&1 == 1 }

// Beside holds, by class, for how many seconds tasks of the class ran beside a run, added up over these tasks. Divided by the time
// of the run this is the mean number of tasks beside it. That mean does not depend on how long the run took, while a long
// run is more likely to have been beside a class at all.
type Beside [maxClasses + 1]float32

// Run is a run that ended by itself with an answer.
type Run struct {
	Class    Class
	Took     time.Duration
	Expected time.Duration // Estimate for the class and the worker.
	Beside   *Beside
	Worker   *Worker // Worker on which the task ran.
}

// Worker holds how much longer than expected the runs of all classes on one worker take of late. Its zero value is ready
// for use.
type Worker struct{ offset float64 }

// Pair is an ordered pair of classes with the estimated effect of one task of the second on a run of the first.
type Pair struct {
	Slowed     model.TeamID
	Slowing    model.TeamID
	SlowDown   float64 // Factor by which one task of Slowing beside it lengthens a run of Slowed.
	LowerBound float64 // Lower confidence bound of SlowDown.
	Runs       float64 // Weight of the runs beside Slowing.
}

// Change reports that a pair interferes, or no longer does.
type Change struct {
	Pair
	Found bool
}

// Table holds what is known of a pool's classes. Create one with New. A Table is not safe for concurrent use.
type Table struct {
	classes []*class
	index   map[model.TeamID]Class
	trend   float64                  // How much longer than expected runs of all classes on all workers take of late.
	next    int                      // Class that is assessed next.
	pairs   int                      // Number of pairs that interfere.
	apart   [maxClasses + 1]ClassSet // Classes that each one slows down or is slowed down by.
	terms   []term                   // Buffer of Learn.
	fit     fit                      // Buffer of assess.
}

// class holds the statistics of a class's runs, from which the pairs are estimated in which it is slowed down.
type class struct {
	id         model.TeamID
	runs       int     // Number of runs, up to warmUpRuns.
	typical    float64 // Logarithm of a typical run time of the class over the expected one.
	ranAt      time.Time
	assessedAt time.Time
	sums       sums
	slowedBy   ClassSet // Classes with which this one makes a pair that interferes.
}

// New returns an empty table.
func New() *Table { return &Table{index: make(map[model.TeamID]Class)} }

// Pairs returns the number of pairs that interfere.
func (t *Table) Pairs() int { return t.pairs }

// KeptApart returns the classes that slow the given one down or are slowed down by it.
func (t *Table) KeptApart(c Class) ClassSet { return t.apart[c] }

// ClassOf returns the number of a team's class, which it adds if there is room. A number is valid while runs of the class
// end or a pair of it interferes, and for idleTime after that.
func (t *Table) ClassOf(now time.Time, id model.TeamID) Class {
	if c, known := t.index[id]; known {
		return c
	}
	c := Class(len(t.classes))
	if c < maxClasses {
		t.classes = append(t.classes, nil)
	} else if c = t.firstIdle(now); c == Others {
		return Others
	} else {
		t.evict(c)
	}
	t.classes[c] = &class{id: id, ranAt: now, assessedAt: now}
	t.index[id] = c
	return c
}

// firstIdle returns the first class without runs and without a pair that interferes, or Others.
func (t *Table) firstIdle(now time.Time) Class {
	for c := range t.classes {
		if now.Sub(t.classes[c].ranAt) >= idleTime && t.apart[c] == 0 {
			return Class(c)
		}
	}
	return Others
}

// Learn adds a run, and returns the changes of pairs that follow from the runs so far.
func (t *Table) Learn(now time.Time, run Run) []Change {
	if run.Class != Others && run.Took > 0 && run.Expected > 0 {
		c := t.classes[run.Class]
		c.ranAt = now
		if y, ok := t.deviation(c, &run); ok {
			c.sums.add(t.termsOf(&run), y)
		}
	}
	return t.assessNext(now)
}

// evict removes what is known of a class.
func (t *Table) evict(c Class) {
	delete(t.index, t.classes[c].id)
	for _, other := range t.classes {
		other.sums.clear(firstClass + int(c))
	}
}

// deviation returns by how much the logarithm of a run time exceeds what is typical of its class, of its worker and of all
// runs of late, and updates these; ok is false while the class is new.
func (t *Table) deviation(c *class, run *Run) (y float64, ok bool) {
	y = math.Log(float64(run.Took) / float64(run.Expected))
	if c.runs < warmUpRuns {
		c.runs++
		c.typical += (min(max(y, -maxWarmUp), maxWarmUp) - c.typical) / float64(c.runs)
		return 0, false
	}
	y = min(max(y-c.typical-t.trend-run.Worker.offset, -maxDeviation), maxDeviation)
	c.typical += typicalWeight * y
	t.trend += trendWeight * y
	run.Worker.offset += workerWeight * y
	return y, true
}

// termsOf returns the regressors of a run: 1, the number of tasks of all classes beside it, and that of each other class.
func (t *Table) termsOf(run *Run) []term {
	all := 0.0
	t.terms = append(t.terms[:0], term{constant, 1}, term{allTasks, 0})
	for c, seconds := range run.Beside {
		if seconds == 0 {
			continue
		}
		tasks := float64(seconds) / run.Took.Seconds()
		all += tasks
		if Class(c) != run.Class && Class(c) != Others {
			t.terms = append(t.terms, term{firstClass + c, tasks})
		}
	}
	t.terms[allTasks].value = all
	return t.terms
}

// assessNext assesses one class, if that is due. The classes take turns.
func (t *Table) assessNext(now time.Time) []Change {
	if len(t.classes) == 0 {
		return nil
	}
	t.next = (t.next + 1) % len(t.classes)
	c := t.classes[t.next]
	elapsed := now.Sub(c.assessedAt)
	if elapsed < assessInterval {
		return nil
	}
	c.assessedAt = now
	c.sums.scale(math.Exp2(-float64(elapsed) / float64(halfLife)))
	return t.assess(c)
}

// assess estimates the pairs in which c is slowed, and returns those that changed.
func (t *Table) assess(c *class) (changes []Change) {
	t.fit.solve(&c.sums)
	for i, other := range t.classes {
		pair := t.pairOf(c, Class(i), other.id)
		before := c.slowedBy.Contains(Class(i))
		if found := pair.interferes(before); found != before {
			c.slowedBy ^= 1 << i
			changes = append(changes, Change{pair, found})
		}
	}
	if len(changes) > 0 {
		t.updateApart()
	}
	return changes
}

// pairOf estimates the pair of c with another class. A task of that class is compared with tasks of c itself and with the average of
// those beside c that are not known to slow it down; the more certain result counts.
func (t *Table) pairOf(c *class, other Class, id model.TeamID) Pair {
	variable := firstClass + int(other)
	pair := Pair{Slowed: c.id, Slowing: id, SlowDown: 1, Runs: c.sums.weight(variable)}
	pair.raise(t.fit.estimate(variable))
	pair.raise(t.fit.contrast(&c.sums, variable, c.slowedBy&^(1<<other)))
	return pair
}

// raise sets the slow-down to an estimate, in logarithms, if its lower bound is higher.
func (p *Pair) raise(estimate, standardError float64, known bool) {
	if bound := math.Exp(estimate - boundErrors*standardError); known && bound > p.LowerBound {
		p.SlowDown, p.LowerBound = math.Exp(estimate), bound
	}
}

// interferes reports whether a pair interferes, given whether it did so far.
func (p *Pair) interferes(before bool) bool {
	if before {
		return p.SlowDown >= goneSlowDown
	}
	return p.Runs >= enoughRuns && p.LowerBound > foundSlowDown
}

// updateApart derives from the pairs which classes are kept apart.
func (t *Table) updateApart() {
	t.pairs, t.apart = 0, [maxClasses + 1]ClassSet{}
	for i, slowed := range t.classes {
		t.pairs += bits.OnesCount32(uint32(slowed.slowedBy))
		t.apart[i] |= slowed.slowedBy
		for j := range t.classes {
			if slowed.slowedBy.Contains(Class(j)) {
				t.apart[j] |= 1 << i
			}
		}
	}
}

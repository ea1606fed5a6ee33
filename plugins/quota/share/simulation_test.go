package share

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

const testQuota = 1000.0 // Tasks per second.

// TestMain sets a fixed seed for random tests that are run without one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("20260101")
	}
	os.Exit(m.Run())
}

// simulation runs the members and coordinators of one team over an in-memory network in virtual time.
type simulation struct {
	fail        func(format string, args ...any)
	config      Config
	random      *rand.Rand
	now         time.Time
	queue       eventQueue
	sequence    uint64
	vms         []*simVM
	lossRate    float64
	partitionOf func(*simVM) int // Side of the network partition that a VM is on.
	startLog    []startedTasks
}

// simVM is one entry VM. Its clock runs at its own rate.
type simVM struct {
	id                 model.NodeID
	incarnation        int
	clockRate          float64
	member             *Member // nil while it is down.
	coordinator        *Coordinator
	paused             bool
	deferred           []func() // Work to do when it resumes.
	demand             float64  // Jobs per second.
	assumedCoordinator *simVM   // VM that it considers the coordinator.
	startedTasks       int
}

// startedTasks is a number of tasks that started together.
type startedTasks struct {
	at    time.Time
	tasks int
}

type scheduledEvent struct {
	at       time.Time
	sequence uint64
	do       func()
}

// eventQueue is a heap of scheduled events, ordered by time.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, count int, fail func(string, ...any)) *simulation {
	s := &simulation{
		fail: fail, now: startTime, random: rand.New(rand.NewPCG(seed, 7)),
		config:      Config{Members: count, Floor: 0.5, Burst: 10 * time.Second},
		partitionOf: func(*simVM) int { return 0 },
	}
	for i := range count {
		v := &simVM{id: model.NodeID(fmt.Sprintf("n%02d", i)), clockRate: 1 + (s.random.Float64()-0.5)/clockDriftDivisor, demand: []float64{0.1, 20}[i%2]}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		s.boot(v)
	}
	return s
}

func (v *simVM) self() MemberID { return MemberID{v.id, model.Incarnation(fmt.Sprint(v.incarnation))} }

// clock returns the time by the VM's own clock.
func (s *simulation) clock(v *simVM) time.Time {
	return startTime.Add(time.Duration(float64(s.now.Sub(startTime)) * v.clockRate))
}

func (s *simulation) boot(v *simVM) {
	v.incarnation++
	v.paused, v.deferred = false, nil
	v.member, v.coordinator = NewMember(s.clock(v), s.config), &Coordinator{}
	v.assumedCoordinator = s.vms[0]
	incarnation := v.incarnation
	s.offerJobs(v, incarnation)
	s.fireTimers(v, incarnation)
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{s.now.Add(d), s.sequence, do})
}

// runOn runs do on an incarnation of a VM: later if the VM is paused, never if that incarnation has ended.
func (s *simulation) runOn(v *simVM, incarnation int, do func()) {
	switch {
	case v.member == nil || v.incarnation != incarnation:
	case v.paused:
		v.deferred = append(v.deferred, func() { s.runOn(v, incarnation, do) })
	default:
		do()
	}
}

// offerJobs offers jobs at the rate of the VM's demand.
func (s *simulation) offerJobs(v *simVM, incarnation int) {
	s.runOn(v, incarnation, func() {
		tasks := 1 + s.random.IntN(100)
		if v.member.Step(s.clock(v), Take{testQuota, tasks}).Taken {
			v.startedTasks += tasks
			s.startLog = append(s.startLog, startedTasks{s.now, tasks})
			s.checkStartRates()
		}
		s.schedule(time.Duration(s.random.ExpFloat64()/v.demand*float64(time.Second)), func() { s.offerJobs(v, incarnation) })
	})
}

// fireTimers periodically applies the timer events that are due.
func (s *simulation) fireTimers(v *simVM, incarnation int) {
	s.runOn(v, incarnation, func() {
		if at, ok := v.member.NextTimer(); ok && !at.After(s.clock(v)) {
			s.requestGrant(v)
		}
		if at, ok := v.coordinator.NextTimer(); ok && !at.After(s.clock(v)) && v.coordinator.Step(s.clock(v), Poll{}).Poll {
			for _, lender := range s.vms {
				s.requestLoan(v, lender)
			}
		}
		s.checkFractions()
		s.schedule(100*time.Millisecond, func() { s.fireTimers(v, incarnation) })
	})
}

func (s *simulation) requestGrant(v *simVM) {
	shortfall := v.member.Step(s.clock(v), BorrowDue{}).BorrowFraction
	if shortfall == 0 {
		return
	}
	requestedAt, to := s.clock(v), v.assumedCoordinator
	s.send(v, to, func() {
		fx := to.coordinator.Step(s.clock(to), BorrowRequested{v.self(), shortfall})
		coordinator := to.self()
		s.send(to, v, func() {
			v.member.Step(s.clock(v), Granted{coordinator, fx.Fraction, requestedAt.Add(UsableDuration(GrantDuration)), fx.RequestAgainAfter})
		})
	})
}

func (s *simulation) requestLoan(v, lender *simVM) {
	requestedAt, self := s.clock(v), v.self()
	s.send(v, lender, func() {
		lent, lenderID := lender.member.Step(s.clock(lender), LoanRequested{self}).Loan, lender.self()
		s.send(lender, v, func() { v.coordinator.Step(s.clock(v), Loan{lenderID, lent, requestedAt}) })
	})
}

// send delivers a message, which may be delayed, duplicated, reordered or lost.
func (s *simulation) send(from, to *simVM, deliver func()) {
	incarnation := to.incarnation
	for range 1 + s.random.IntN(5)/4 {
		if s.random.Float64() < s.lossRate {
			continue
		}
		delay := time.Duration(s.random.ExpFloat64() * float64(20*time.Millisecond))
		if s.random.IntN(50) == 0 {
			delay += time.Duration(s.random.Int64N(int64(20 * time.Second)))
		}
		s.schedule(delay, func() {
			if s.partitionOf(from) == s.partitionOf(to) {
				s.runOn(to, incarnation, deliver)
			}
		})
	}
}

// checkFractions checks that the fractions that all VMs may use, paused ones included, add up to at most
// the whole quota.
func (s *simulation) checkFractions() {
	total := 0.0
	for _, v := range s.vms {
		if v.member != nil {
			total += v.member.Fraction(s.clock(v))
		}
	}
	if total > 1+1e-6 {
		s.fail("at %v the usable fractions add up to %g", s.now.Sub(startTime), total)
	}
}

// checkStartRates checks the number of started tasks in time windows that end now.
func (s *simulation) checkStartRates() {
	for _, window := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		total := 0
		for i := len(s.startLog) - 1; i >= 0 && s.now.Sub(s.startLog[i].at) <= window; i-- {
			total += s.startLog[i].tasks
		}
		bound := testQuota * (window + s.config.Burst).Seconds() * (1 + 1.0/clockDriftDivisor)
		if float64(total) > bound {
			s.fail("%d starts in %v, at most %g allowed", total, window, bound)
		}
	}
	for len(s.startLog) > 0 && s.now.Sub(s.startLog[0].at) > time.Minute {
		s.startLog = s.startLog[1:]
	}
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.do()
	}
	s.now = end
}

func (s *simulation) resume(v *simVM) {
	deferred := v.deferred
	v.paused, v.deferred = false, nil
	for _, do := range deferred {
		do()
	}
}

// injectFault changes the demand of a VM or causes or ends one fault.
func (s *simulation) injectFault(kind, pick int, size float64) {
	v := s.vms[pick%len(s.vms)]
	switch kind {
	case 0:
		v.demand = 0.1 + size*20
	case 1:
		v.member = nil
	case 2:
		if v.member == nil {
			s.boot(v)
		}
	case 3:
		v.paused = v.member != nil
	case 4:
		s.resume(v)
	case 5:
		s.partitionOf = func(x *simVM) int { return int(x.id[2]-'0') % (1 + pick%3) }
	case 6:
		s.partitionOf = func(*simVM) int { return 0 }
	case 7:
		s.lossRate = size * 0.7
	case 9: // An immediate restart.
		s.boot(v)
	case 8:
		for i, x := range s.vms { // Half of the VMs consider v the coordinator.
			if (i+pick)%2 == 0 {
				x.assumedCoordinator = v
			}
		}
	}
}

// TestFractionsStayWithinQuotaUnderFaults runs VMs through crashes, pauses, network partitions and shifting
// demand. A longer run: -rapid.checks=100000.
func TestFractionsStayWithinQuotaUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 9).Draw(t, "vms")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), count, t.Fatalf)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			s.injectFault(rapid.IntRange(0, 9).Draw(t, "kind"), rapid.IntRange(0, 8).Draw(t, "vm"), rapid.Float64Range(0, 1).Draw(t, "size"))
			s.runFor(time.Duration(rapid.IntRange(100, 10_000).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

package swim

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

const convergeWithin = 40 // Periods after which all views must agree, with up to 60 members.

// startedCluster returns a running cluster whose views agree, with no state changes recorded yet.
func startedCluster(is *is.I, seed uint64, count int) *cluster {
	is.Helper()
	c := newCluster(seed, count)
	c.startAll()
	_, ok := c.runUntil(convergeWithin, func() bool { return agreed(c.running()) })
	is.True(ok) // All members have discovered each other.
	c.stateChanges = nil
	return c
}

func TestMembersDiscoverEachOther(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{1, 3, 9, 60} {
		startedCluster(is, 1, count)
	}
}

func TestCrashedMemberIsRemovedFromAllViews(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{3, 9, 60} {
		c := startedCluster(is, 2, count)
		c.crash(c.nodes[1])
		_, ok := c.runUntil(20, func() bool { return agreed(c.running()) })
		is.True(ok) // The crashed member is gone from every view.
	}
}

func TestRestartReplacesPreviousIncarnation(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 3, 9)
	c.crash(c.nodes[1])
	c.run(300 * time.Millisecond)
	c.start(c.nodes[1])
	_, ok := c.runUntil(10, func() bool { return agreed(c.running()) })
	is.True(ok) // All views contain the new incarnation.
}

func TestRestartIsAcceptedWhenClockMovedBack(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 4, 9)
	c.crash(c.nodes[1])
	c.run(20 * period)
	c.nodes[1].clockOffset = -time.Hour
	c.start(c.nodes[1])
	_, ok := c.runUntil(15, func() bool { return agreed(c.running()) })
	is.True(ok) // The new incarnation has raised its epoch above that of the previous one.
}

func TestUndetectedRestartIsAcceptedWhenClockMovedBack(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 4, 9)
	c.nodes[1].clockOffset = -time.Hour
	c.start(c.nodes[1]) // The previous incarnation still counts as alive in all views.
	_, ok := c.runUntil(15, func() bool { return agreed(c.running()) })
	is.True(ok)
}

func TestRollingRestartCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 5, 9)
	for _, n := range c.nodes {
		c.step(n, Leaving{})
		c.run(2 * period)
		c.step(n, Stopping{})
		c.run(50 * time.Millisecond)
		c.crash(n)
		c.run(2 * period)
		c.start(n)
		c.run(3 * period)
	}
	_, ok := c.runUntil(convergeWithin, func() bool { return agreed(c.running()) })
	is.True(ok)
	suspected := slices.ContainsFunc(c.stateChanges, func(change StateChange) bool {
		return change.To == Suspect || change.To == Dead
	})
	is.True(!suspected) // No planned restart is considered a failure.
}

func TestDrainIsAnnouncedToAllMembersAtOnce(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 6, 60)
	c.step(c.nodes[0], Leaving{})
	c.run(2 * c.maxDelay)
	for _, n := range c.nodes {
		is.True(n.machine.Live()[0].Draining)
	}
}

// Guards against late orders of a member whose process was killed: the owner of its pools has its endpoints refuse them, and has to do
// so before callers send their jobs again. A suspicion would last for four periods, although nobody can refute it.
func TestMemberWhoseProcessHasEndedIsSuspectOnlyBriefly(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 7, 13)
	killed := c.nodes[3]
	c.crash(killed)
	c.step(c.nodes[0], ProbeRequested{killed.ID}) // A request to it has failed.
	_, ok := c.runUntil(3, func() bool {
		return !slices.ContainsFunc(c.running(), func(n *node) bool { return n.seesAlive(killed.ID) })
	})
	is.True(ok)
}

// Guards against a member that is given up while it lives: one that answers nobody is suspected first, and can refute.
func TestMemberThatDoesNotAnswerIsSuspectedFirst(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 7, 13)
	c.pause(c.nodes[3])
	c.step(c.nodes[0], ProbeRequested{c.nodes[3].ID})
	c.run(3 * period)
	is.True(c.nodes[0].seesAlive(c.nodes[3].ID))
}

// Guards against an overloaded member that is kept from answering: each member that heard of its suspicion probed it at once.
func TestSuspectThatMayBeOverloadedIsNotProbedByAllThatHearOfIt(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 7, 24)
	suspect, reporter := c.nodes[3], c.nodes[0]
	report := reporter.machine.members[suspect.ID].Record
	report.State = Suspect
	for _, n := range c.nodes[4:] {
		fx := c.step(n, PingReceived{Message{Records: []Record{reporter.machine.Self(), report}}})
		is.True(!slices.ContainsFunc(fx.Pings, func(p Ping) bool { return p.To == suspect.ID }))
	}
}

// Guards against members that do not find each other for long when all of some kind were killed at the same moment: none of those
// that start again knows the others.
func TestMembersThatWereKilledTogetherAreFoundAgainSoon(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 7, 13)
	for _, n := range c.nodes[:5] {
		c.crash(n)
	}
	c.run(3 * period)
	for _, n := range c.nodes[:5] {
		c.start(n)
	}
	_, ok := c.runUntil(10, func() bool { return agreed(c.running()) })
	is.True(ok)
}

func TestPausedMemberStaysStaleUntilAnswered(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 7, 9)
	paused := c.nodes[0]
	c.pause(paused)
	c.run(30 * period)
	is.True(!c.nodes[1].seesAlive(paused.ID)) // The others have removed it from their views.
	is.Equal(paused.machine.Pauses(), uint64(0))
	until := viewFreshUntil(paused)
	is.True(until.Before(c.now)) // Its view counts as stale even before the next step.
	c.blocked = func(from, to *node) bool { return from == paused || to == paused }
	c.resume(paused)
	fresh, _ := paused.machine.Fresh()
	is.True(!fresh)
	is.Equal(paused.machine.Pauses(), uint64(1))
	c.run(period)
	fresh, _ = paused.machine.Fresh()
	is.True(!fresh) // Messages that arrived before it was resumed do not make the view fresh.
	c.blocked = func(_, _ *node) bool { return false }
	_, ok := c.runUntil(convergeWithin, func() bool { return agreed(c.running()) })
	is.True(ok)
}

func viewFreshUntil(n *node) time.Time {
	_, until := n.machine.Fresh()
	return until
}

func TestSimultaneousPauseMarksNoMemberDead(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 8, 9)
	for _, n := range c.nodes {
		c.pause(n)
	}
	c.run(time.Minute)
	for _, n := range c.nodes {
		c.resume(n)
	}
	_, ok := c.runUntil(convergeWithin, func() bool { return agreed(c.running()) })
	is.True(ok)
	anyDead := slices.ContainsFunc(c.stateChanges, func(change StateChange) bool { return change.To == Dead })
	is.True(!anyDead)
}

func TestOneWayPartitionMarksNeitherMemberDead(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 9, 9)
	a, b := c.nodes[0], c.nodes[5]
	c.blocked = func(from, to *node) bool { return from == a && to == b }
	c.run(5 * time.Minute)
	anyDead := slices.ContainsFunc(c.stateChanges, func(change StateChange) bool { return change.To == Dead })
	is.True(!anyDead) // Relays reach both members.
	is.True(agreed(c.running()))
}

func TestPartitionedDataCentreConvergesAloneAndRejoins(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{9, 60} {
		c := startedCluster(is, 10, count)
		isolated := c.nodes[:3]
		c.blocked = func(from, to *node) bool { return slices.Contains(isolated, from) != slices.Contains(isolated, to) }
		_, ok := c.runUntil(2*count+convergeWithin, func() bool { return agreed(isolated) && agreed(c.nodes[3:]) })
		is.True(ok) // The views on each side contain exactly the members of that side.
		c.run(20 * time.Minute)
		c.blocked = func(_, _ *node) bool { return false }
		_, ok = c.runUntil(convergeWithin, func() bool { return agreed(c.running()) })
		is.True(ok) // All views agree again.
	}
}

func TestMemberOutsideSettingsIsDiscoveredAndRemovedAfterDeath(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 11, 9)
	added := &node{Node: c.nodes[0].Node}
	added.ID = "n99"
	added.Peers = "10.0.0.99:7004"
	c.nodes = append(c.nodes, added)
	c.start(added)
	_, ok := c.runUntil(10, func() bool { return agreed(c.running()) })
	is.True(ok)
	c.crash(added)
	c.run(deadRetention + time.Minute)
	_, known := c.nodes[0].machine.members[added.ID]
	is.True(!known)
}

func TestNewestValueReachesAllMembers(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 12, 60)
	for version := range 3 {
		c.step(c.nodes[7], Published{Topic: "revision", Data: []byte{byte(version)}})
	}
	_, ok := c.runUntil(10, func() bool { return c.allHoldValue(c.nodes[7].ID, "revision", 2) })
	is.True(ok)
}

func TestValuePublishedDuringPartitionArrivesAfterIt(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 13, 9)
	isolated := c.nodes[:3]
	c.blocked = func(from, to *node) bool { return slices.Contains(isolated, from) != slices.Contains(isolated, to) }
	c.run(time.Minute)
	c.step(isolated[0], Published{Topic: "revision", Data: []byte{9}})
	c.run(10 * time.Minute) // Long enough that the value is no longer sent as an update.
	c.blocked = func(_, _ *node) bool { return false }
	_, ok := c.runUntil(convergeWithin, func() bool { return c.allHoldValue(isolated[0].ID, "revision", 9) })
	is.True(ok)
}

func TestValueIsReplacedAfterRestartWhenClockMovedBack(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 14, 9)
	c.step(c.nodes[1], Published{Topic: "revision", Data: []byte{1}})
	c.run(10 * period)
	c.crash(c.nodes[1])
	c.nodes[1].clockOffset = -time.Hour
	c.start(c.nodes[1])
	c.step(c.nodes[1], Published{Topic: "revision", Data: []byte{2}})
	_, ok := c.runUntil(convergeWithin, func() bool { return c.allHoldValue(c.nodes[1].ID, "revision", 2) })
	is.True(ok) // The value of the new incarnation has replaced that of the previous one.
}

// allHoldValue reports whether every running member holds that value of the origin.
func (c *cluster) allHoldValue(origin model.NodeID, topic string, data byte) bool {
	for _, n := range c.running() {
		at, found := n.machine.findValue(origin, topic)
		if !found || n.machine.values[at].Data[0] != data {
			return false
		}
	}
	return true
}

func TestEarlyProbeSuspectsCrashedMemberSooner(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 15, 9)
	c.unpowered = true
	c.crash(c.nodes[4])
	c.step(c.nodes[0], ProbeRequested{c.nodes[4].ID})
	c.run(3 * answerTimeout)
	is.Equal(c.nodes[0].machine.members[c.nodes[4].ID].State, Suspect)
}

func TestEarlyProbesAreBounded(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 16, 60)
	c.run(period / 2)
	pings := 0
	for range 100 {
		for _, other := range c.nodes[1:] {
			pings += len(c.nodes[0].machine.Step(c.now, ProbeRequested{other.ID}).Pings)
		}
	}
	is.Equal(pings, maxEarlyProbes)
}

func TestMessageSizeIsBounded(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 17, 60)
	for _, n := range c.nodes {
		for _, topic := range []string{"a", "b", "c"} {
			c.step(n, Published{Topic: topic, Data: make([]byte, 300)})
		}
	}
	for range 20 {
		c.run(period)
		m := c.nodes[0].machine.compose("n05")
		size := 0
		for _, r := range m.Records {
			size += r.size()
		}
		for _, v := range m.Values {
			size += v.size()
		}
		is.True(size <= max(minUpdateBytes, 60*updateBytesAMember)+2*recordBytes+200) // The sender's own record, the receiver's record and the updates.
	}
}

// Guards against a live member that all give up because one did: the first report of its death makes it suspect, so that it can refute, and
// the same report by another message ended that at once.
func TestRepeatedReportOfADeathLeavesTimeToRefute(t *testing.T) {
	is := is.New(t)
	c := startedCluster(is, 7, 24)
	givenUp, observer := c.nodes[3], c.nodes[0]
	report := observer.machine.members[givenUp.ID].Record
	report.State = Dead
	for _, reporter := range c.nodes[1:3] {
		c.step(observer, PingReceived{Message{Records: []Record{reporter.machine.Self(), report}}})
		is.Equal(observer.machine.members[givenUp.ID].State, Suspect)
	}
}

package swim

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

const agreeWithin = 40 // Periods after which all views agree, for up to 60 members.

// started returns a cluster whose members agree.
func started(is *is.I, seed uint64, count int) *cluster {
	is.Helper()
	c := newCluster(seed, count)
	c.startAll()
	_, ok := c.runUntil(agreeWithin, func() bool { return agreed(c.running()) })
	is.True(ok) // All members find each other.
	c.changes = nil
	return c
}

func TestMembersFindOneAnother(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{1, 3, 9, 60} {
		started(is, 1, count)
	}
}

func TestCrashedMemberIsTakenForDead(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{3, 9, 60} {
		c := started(is, 2, count)
		c.crash(c.nodes[1])
		_, ok := c.runUntil(20, func() bool { return agreed(c.running()) })
		is.True(ok) // The dead member is gone from every view.
	}
}

func TestRestartSupersedesFormerRun(t *testing.T) {
	is := is.New(t)
	c := started(is, 3, 9)
	c.crash(c.nodes[1])
	c.run(300 * time.Millisecond)
	c.start(c.nodes[1])
	_, ok := c.runUntil(10, func() bool { return agreed(c.running()) })
	is.True(ok) // All know the new run.
}

func TestRestartWithAnEarlierClockIsNotLockedOut(t *testing.T) {
	is := is.New(t)
	c := started(is, 4, 9)
	c.crash(c.nodes[1])
	c.run(20 * period)
	c.nodes[1].clock = -time.Hour
	c.start(c.nodes[1])
	_, ok := c.runUntil(15, func() bool { return agreed(c.running()) })
	is.True(ok) // The new run raised its epoch above that of the former one.
}

func TestUnnoticedRestartWithAnEarlierClockIsNotLockedOut(t *testing.T) {
	is := is.New(t)
	c := started(is, 4, 9)
	c.nodes[1].clock = -time.Hour
	c.start(c.nodes[1]) // The former run still counts as alive.
	_, ok := c.runUntil(15, func() bool { return agreed(c.running()) })
	is.True(ok)
}

func TestRollingRestartCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	c := started(is, 5, 9)
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
	_, ok := c.runUntil(agreeWithin, func() bool { return agreed(c.running()) })
	is.True(ok)
	suspected := slices.ContainsFunc(c.changes, func(change Change) bool {
		return change.To == Suspect || change.To == Dead
	})
	is.True(!suspected) // No planned restart looks like a failure.
}

func TestDrainIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	c := started(is, 6, 60)
	c.step(c.nodes[0], Leaving{})
	c.run(2 * c.maxDelay)
	for _, n := range c.nodes {
		is.True(n.machine.Live()[0].Draining)
	}
}

func TestFrozenMemberIsStaleUntilAnswered(t *testing.T) {
	is := is.New(t)
	c := started(is, 7, 9)
	frozen := c.nodes[0]
	c.freeze(frozen)
	c.run(30 * period)
	is.True(!c.nodes[1].holds(frozen.ID)) // The others have gone on without it.
	until := freshUntil(frozen)
	is.True(until.Before(c.now)) // Before any step, its view counts as stale.
	c.cut = func(from, to *node) bool { return from == frozen || to == frozen }
	c.thaw(frozen)
	fresh, _ := frozen.machine.Fresh()
	is.True(!fresh)
	c.run(period)
	fresh, _ = frozen.machine.Fresh()
	is.True(!fresh) // What was received before the freeze ended is no contact.
	c.cut = func(_, _ *node) bool { return false }
	_, ok := c.runUntil(agreeWithin, func() bool { return agreed(c.running()) })
	is.True(ok)
}

func freshUntil(n *node) time.Time {
	_, until := n.machine.Fresh()
	return until
}

func TestShortFreezeOfAllMembersKillsNobody(t *testing.T) {
	is := is.New(t)
	c := started(is, 8, 9)
	for _, n := range c.nodes {
		c.freeze(n)
	}
	c.run(time.Minute)
	for _, n := range c.nodes {
		c.thaw(n)
	}
	_, ok := c.runUntil(agreeWithin, func() bool { return agreed(c.running()) })
	is.True(ok)
	died := slices.ContainsFunc(c.changes, func(change Change) bool { return change.To == Dead })
	is.True(!died)
}

func TestOneWayCutBetweenTwoMembersKillsNeither(t *testing.T) {
	is := is.New(t)
	c := started(is, 9, 9)
	a, b := c.nodes[0], c.nodes[5]
	c.cut = func(from, to *node) bool { return from == a && to == b }
	c.run(5 * time.Minute)
	died := slices.ContainsFunc(c.changes, func(change Change) bool { return change.To == Dead })
	is.True(!died) // Others reach both.
	is.True(agreed(c.running()))
}

func TestCutOffDataCentreGoesOnAloneAndReturns(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{9, 60} {
		c := started(is, 10, count)
		inside := c.nodes[:3]
		c.cut = func(from, to *node) bool { return slices.Contains(inside, from) != slices.Contains(inside, to) }
		_, ok := c.runUntil(2*count+agreeWithin, func() bool { return agreed(inside) && agreed(c.nodes[3:]) })
		is.True(ok) // Both sides agree on their own members.
		c.run(20 * time.Minute)
		c.cut = func(_, _ *node) bool { return false }
		_, ok = c.runUntil(agreeWithin, func() bool { return agreed(c.running()) })
		is.True(ok) // They find each other again.
	}
}

func TestMemberBeyondSettingsIsLearnedAndForgotten(t *testing.T) {
	is := is.New(t)
	c := started(is, 11, 9)
	added := &node{Node: c.nodes[0].Node}
	added.ID = "n99"
	added.Peers = "10.0.0.99:7004"
	c.nodes = append(c.nodes, added)
	c.start(added)
	_, ok := c.runUntil(10, func() bool { return agreed(c.running()) })
	is.True(ok)
	c.crash(added)
	c.run(forgetAfter + time.Minute)
	_, known := c.nodes[0].machine.members[added.ID]
	is.True(!known)
}

func TestNewestValueReachesAll(t *testing.T) {
	is := is.New(t)
	c := started(is, 12, 60)
	for version := range 3 {
		c.step(c.nodes[7], Published{Topic: "revision", Data: []byte{byte(version)}})
	}
	_, ok := c.runUntil(10, func() bool { return c.told(c.nodes[7].ID, "revision", 2) })
	is.True(ok)
}

func TestValueOfACutOffMemberArrivesAfterTheCut(t *testing.T) {
	is := is.New(t)
	c := started(is, 13, 9)
	inside := c.nodes[:3]
	c.cut = func(from, to *node) bool { return slices.Contains(inside, from) != slices.Contains(inside, to) }
	c.run(time.Minute)
	c.step(inside[0], Published{Topic: "revision", Data: []byte{9}})
	c.run(10 * time.Minute) // Its retransmissions have ended.
	c.cut = func(_, _ *node) bool { return false }
	_, ok := c.runUntil(agreeWithin, func() bool { return c.told(inside[0].ID, "revision", 9) })
	is.True(ok)
}

func TestValueOutlivesARestartWithAnEarlierClock(t *testing.T) {
	is := is.New(t)
	c := started(is, 14, 9)
	c.step(c.nodes[1], Published{Topic: "revision", Data: []byte{1}})
	c.run(10 * period)
	c.crash(c.nodes[1])
	c.nodes[1].clock = -time.Hour
	c.start(c.nodes[1])
	c.step(c.nodes[1], Published{Topic: "revision", Data: []byte{2}})
	_, ok := c.runUntil(agreeWithin, func() bool { return c.told(c.nodes[1].ID, "revision", 2) })
	is.True(ok) // The value of the new run replaces that of the former one.
}

// told reports whether all other members hold that value.
func (c *cluster) told(origin model.NodeID, topic string, data byte) bool {
	for _, n := range c.running() {
		at, found := n.machine.findValue(origin, topic)
		if !found || n.machine.values[at].Data[0] != data {
			return false
		}
	}
	return true
}

func TestEarlyProbeFindsADeadMemberSooner(t *testing.T) {
	is := is.New(t)
	c := started(is, 15, 9)
	c.crash(c.nodes[4])
	c.step(c.nodes[0], Doubted{c.nodes[4].ID})
	c.run(3 * answerTimeout)
	is.Equal(c.nodes[0].machine.members[c.nodes[4].ID].State, Suspect)
}

func TestEarlyProbesAreBounded(t *testing.T) {
	is := is.New(t)
	c := started(is, 16, 60)
	c.run(period / 2)
	pings := 0
	for range 100 {
		for _, other := range c.nodes[1:] {
			pings += len(c.nodes[0].machine.Step(c.now, Doubted{other.ID}).Pings)
		}
	}
	is.Equal(pings, earlyPerPeriod)
}

func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	c := started(is, 17, 60)
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
		is.True(size <= maxNews+2*recordBytes+200) // Own record, that of the receiver, and the news.
	}
}

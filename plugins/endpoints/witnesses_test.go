package endpoints

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// groupWithASlowStart returns a group of members, the first of which has ordered a start that its endpoint does not answer, under the key
// "key".
func groupWithASlowStart(t *testing.T) (n *network, all []*Pools, nodes []port.Node, silent *silentEndpoints) {
	n = newNetwork()
	all, nodes = startGroup(t, n, 6)
	silent = useSilentEndpoints(all[0].tasks.(*fakeMember))
	announceLeased(all[0], "e1")
	all[0].step(pool1, keyedSubmission("m000.m000.1.1.t", "key", time.Minute))
	synctest.Wait()
	all[0].StartSlow(port.TaskRun{Key: "key", Attempt: 1})
	return n, all, nodes, silent
}

// knowKept returns how many of the members know that another one keeps the turn of the first task of the job with the key "key".
func knowKept(all []*Pools) (count int) {
	for _, p := range all {
		if _, _, _, kept := p.keptBy(taskRef{"key", 0}); kept {
			count++
		}
	}
	return count
}

// Guards against review/7 where the member that gave the order dies: nobody else knew of a start that an endpoint carried out beside the run
// of the resent job. The witnesses of the start tell all others, also those that join.
func TestSlowStartOfADeadMemberIsToldToAllByItsWitnesses(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, all, nodes, _ := groupWithASlowStart(t)
		time.Sleep(50 * time.Millisecond) // On the virtual clock.
		is.Equal(knowKept(all), 0)
		all[0].Stop() // Nobody has noticed when the caller sends its job again.
		time.Sleep(callerPause - 50*time.Millisecond)
		is.Equal(knowKept(all), 5)
		joined := port.Node{ID: "new", Incarnation: "n1", DataCentre: "sj1"}
		p, _ := newPools(t, n, joined)
		n.setAlive(append(slices.Clone(nodes[1:]), joined)...)
		time.Sleep(tellTime) // On the virtual clock.
		is.Equal(knowKept([]*Pools{p}), 1)
	})
}

// Guards against messages to all members for a start that is answered late, or never while its member lives.
func TestSlowStartIsToldToItsWitnessesAlone(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, all, _, _ := groupWithASlowStart(t)
		time.Sleep(3 * time.Second) // On the virtual clock.
		is.Equal(knowKept(all), 0)
		all[0].StartAnswered(port.TaskRun{Key: "key", Attempt: 1})
		time.Sleep(tellTime) // On the virtual clock.
		told := n.updateMessages()
		is.True(told <= witnessCount*12) // The first word, ten renewals and the answer.
		all[0].Stop()
		time.Sleep(callerPause) // On the virtual clock.
		is.Equal(knowKept(all), 0)
		is.Equal(n.updateMessages(), told)
		for _, p := range all {
			is.True(len(p.witnesses()) == witnessCount && !slices.Contains(p.witnesses(), p.membership.Self().ID))
		}
	})
}

// Guards against a turn that others keep heeding after a keeper whose word was late has given it back.
func TestTurnThatWitnessesHaveToldOfIsGivenBackByItsKeeper(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		n, all, _, silent := groupWithASlowStart(t)
		time.Sleep(tellTime) // On the virtual clock.
		n.mu.Lock()
		n.faults[methodUpdates] = slices.Repeat([]fault{dropRequest}, 10) // The renewals of the next second.
		n.mu.Unlock()
		time.Sleep(2 * time.Second) // On the virtual clock.
		is.True(knowKept(all) > 0)
		close(silent.settled)
		time.Sleep(2 * time.Second) // On the virtual clock.
		is.Equal(knowKept(all), 0)
	})
}

func TestWitnessedTurnsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newLonePools()
	defer p.Stop()
	for i := range 100 * maxWitnessedPerShard {
		p.applyAsWitness(wireTurn{Job: "key", Index: i, Member: model.NodeID("m"), Incarnation: "i1", Number: 1, Kept: true, ValidMS: 1, Witness: true})
	}
	p.witnessed.Each(func(turns map[witnessKey]*witnessedTurn) { is.True(len(turns) <= maxWitnessedPerShard) })
}

package endpoints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// remembering sets how long the members remember withdrawn keys.
func remembering(valid time.Duration, all ...*Pools) {
	for _, p := range all {
		p.settings.WithdrawnMS = valid.Milliseconds()
	}
}

// Guards against review/8, UNASKED: a job ran whose cancelling was acknowledged.
func TestBatchOfAWithdrawnKeyIsRefused(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		_, origin, owner, _ := newPair(t)
		remembering(time.Second, owner)
		b := repeatableBatch()
		owner.Withdraw(b.Key)
		result := origin.Run(t.Context(), "owner", b)
		is.True(result.Refused)
		is.Equal(result.Reason, model.ReasonWithdrawn)
		is.Equal(owner.instruments.starts.Count(), int64(0))
		time.Sleep(time.Second) // On the virtual clock.
		again := repeatableBatch()
		again.ID.Part = 1
		is.True(!origin.Run(t.Context(), "owner", again).Refused)
	})
}

// Guards against a member that joins, or has started again, and runs a job that was cancelled before; also where more were cancelled than
// fit into one message.
func TestMemberThatJoinsRefusesKeysThatWereWithdrawnBefore(t *testing.T) {
	withVirtualClock(t, func(t *testing.T, is *is.I) {
		const keys = 3 * maxPendingUpdates
		n := newNetwork()
		all, nodes := startGroup(t, n, 6)
		remembering(time.Minute, all...)
		for i := range keys {
			for _, p := range all {
				p.Withdraw(fmt.Sprint("key", i))
			}
		}
		joined := port.Node{ID: "new", Incarnation: "n1", DataCentre: "sj1"}
		p, _ := newPools(t, n, joined)
		n.setAlive(append(slices.Clone(nodes), joined)...)
		time.Sleep(tellTime) // On the virtual clock.
		for i := range keys {
			is.True(p.Withdrawn(fmt.Sprint("key", i)))
		}
	})
}

func TestWithdrawnKeysAreBoundedAndChecked(t *testing.T) {
	is := is.New(t)
	p := newLonePools()
	defer p.Stop()
	remembering(time.Minute, p)
	p.handleUpdates(t.Context(), "m", updateMessage{taskUpdates: taskUpdates{Withdrawn: []wireKey{{"", 1}, {"k", 0}, {"k", -1}, {"k", maxRemaining.Milliseconds() + 1}}}})
	is.Equal(p.withdrawn.Len(), 0)
	is.True(!p.Withdrawn(""))
	for i := range 80 * maxWithdrawnPerShard {
		p.Withdraw(fmt.Sprint("key", i))
	}
	p.withdrawn.Each(func(expires map[string]time.Time) { is.True(len(expires) <= maxWithdrawnPerShard) })
}

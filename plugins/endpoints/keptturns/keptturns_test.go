package keptturns

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a turn that counts as kept, or as given back, since updates on it have overtaken each other, were repeated, or came by way
// of a third member.
func TestNewestUpdateOfEachKeeperCountsInWhateverOrderTheyArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var direct, third Task
		newest := make(map[model.Incarnation]bool)
		var updates []Update
		for number := range uint64(rapid.IntRange(1, 12).Draw(t, "updates")) {
			u := Update{
				Keeper: Keeper{"m", rapid.SampledFrom([]model.Incarnation{"i1", "i2"}).Draw(t, "incarnation")},
				Number: number + 1, Kept: rapid.Bool().Draw(t, "kept"), Valid: time.Minute,
			}
			newest[u.Keeper.Incarnation] = u.Kept
			updates = append(updates, u, u)
		}
		for _, u := range rapid.Permutation(updates).Draw(t, "order of arrival") {
			direct.Apply(now, u)
			if rapid.Bool().Draw(t, "tells a third member") {
				tell(&third, &direct)
			}
		}
		tell(&third, &direct)
		for name, task := range map[string]*Task{"told by the keepers": &direct, "told by another member": &third} {
			if _, _, kept := task.KeptBy(now); kept != (newest["i1"] || newest["i2"]) {
				t.Fatalf("%s: kept is %v after %+v", name, kept, updates)
			}
		}
	})
}

// tell applies what one member knows of a task's turns at another one.
func tell(to, from *Task) {
	for _, u := range from.Updates(now) {
		to.Apply(now, u)
	}
}

func TestTurnIsKeptUntilItIsGivenBackOrItsKeeperIsSilent(t *testing.T) {
	is := is.New(t)
	var task Task
	keeper := Keeper{"m", "i1"}
	is.True(!task.Apply(now, Update{keeper, 1, true, time.Second}))
	_, until, kept := task.KeptBy(now)
	is.True(kept && until.Equal(now.Add(time.Second)))
	_, _, kept = task.KeptBy(until)
	is.True(!kept)
	is.Equal(len(task.Updates(until)), 0)
	is.True(!task.Apply(now, Update{keeper, 2, true, time.Minute})) // The keeper has told it once more.
	is.Equal(task.Expires(), now.Add(time.Minute))
	is.True(task.Apply(now, Update{keeper, 3, false, time.Minute}))
	is.True(!task.Apply(now, Update{keeper, 3, false, time.Minute}))
	_, _, kept = task.KeptBy(now)
	is.True(!kept)
}

package register

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// order returns an order about a data centre that a member received when it knew the given revision.
func order(id string, kind model.EditKind, dc model.DataCentre, known model.Revision) model.ProfileEdit {
	return model.ProfileEdit{ID: id, Kind: kind, DataCentre: dc, Expect: known}
}

// Guards against an order that takes effect after its withdrawal has overtaken it, and against a refusal or a further change when an
// order is sent twice or to two members.
func TestEvacuation_OvertakenOrderIsStaleAndRepeatedOneChangesNothing(t *testing.T) {
	is := is.New(t)
	state, result := applyEdit(Initial(), order("1", model.Evacuate, "sj1", 0), time.Unix(1, 0))
	is.Equal(result, model.EditResult{Status: model.EditDone, Revision: 1})
	same, result := applyEdit(state, order("2", model.Evacuate, "sj1", 0), time.Unix(2, 0)) // Of another member.
	is.Equal(result, model.EditResult{Status: model.EditDone, Revision: 1})
	is.Equal(same.Revision(), state.Revision())
	state, _ = applyEdit(state, order("3", model.Evacuate, "sj2", 0), time.Unix(3, 0)) // Not stale: sj2 has not changed.
	is.True(state.Set.Evacuated("sj1") && state.Set.Evacuated("sj2"))
	state, _ = applyEdit(state, order("4", model.EndEvacuation, "sj1", 2), time.Unix(4, 0))
	is.True(!state.Set.Evacuated("sj1"))
	for _, known := range []model.Revision{0, 1, 2} {
		late, result := applyEdit(state, order("5", model.Evacuate, "sj1", known), time.Unix(5, 0))
		is.Equal(result, refusedResult(model.EditStale, model.NotRun, 3))
		is.True(!late.Set.Evacuated("sj1"))
	}
	state, _ = applyEdit(state, order("6", model.Evacuate, "sj1", 3), time.Unix(6, 0))
	is.True(state.Set.Evacuated("sj1"))
}

// Guards against a register that grows without bound, and against an overtaken order that takes effect because its data centre was
// evicted meanwhile.
func TestEvacuation_EvictedDataCentreRefusesOvertakenOrders(t *testing.T) {
	is := is.New(t)
	state, revision := Initial(), model.Revision(0)
	step := func(kind model.EditKind, dc model.DataCentre) model.EditResult {
		var result model.EditResult
		revision = state.Revision()
		state, result = applyEdit(state, order(fmt.Sprint(kind, dc, revision), kind, dc, revision), time.Unix(int64(revision), 0))
		return result
	}
	step(model.Evacuate, "old")
	step(model.EndEvacuation, "old")
	for i := range model.MaxEvacuations {
		is.Equal(step(model.Evacuate, model.DataCentre(fmt.Sprint("dc", i))).Status, model.EditDone)
	}
	is.Equal(len(state.Set.Evacuations), model.MaxEvacuations)
	is.Equal(step(model.Evacuate, "old").Status, model.EditTooMany)
	step(model.EndEvacuation, "dc0")
	_, result := applyEdit(state, order("late", model.Evacuate, "old", 1), time.Unix(9, 0))
	is.Equal(result.Status, model.EditStale)
	is.Equal(step(model.Evacuate, "old").Status, model.EditDone)
	is.Equal(len(state.Set.Evacuations), model.MaxEvacuations)
}

// Guards against an order that is answered as done by a member that has not learned of its withdrawal.
func TestEvacuation_IsNotAnsweredFromServedState(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.submit("n0", order("on", model.Evacuate, "sj1", 0))
		sim.advance(time.Second)
		sim.partition = map[model.NodeID]int{"n0": 1}
		sim.submit("n1", order("off", model.EndEvacuation, "sj1", 1))
		sim.advance(time.Second)
		before := sim.done
		sim.submit("n0", order("again", model.Evacuate, "sj1", 1))
		sim.advance(3 * time.Second)
		if sim.done != before {
			sim.t.Fatalf("an order was answered as done although a withdrawal is in force")
		}
	})
}

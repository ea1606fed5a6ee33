package poolstate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// submitOf submits a job of one task of the given team.
func (h *harness) submitOf(team model.TeamID) Effects {
	h.jobs++
	b := model.Batch{
		ID: model.BatchID{Job: model.JobID("n.i.1." + string(rune('a'+h.jobs%26)) + string(rune('a'+h.jobs/26)) + ".t")}, Pool: finderPool, Team: team,
		Key: string(team) + string(rune(h.jobs)), Deadline: h.now.Add(time.Minute), MaxFailures: 4, Tasks: []model.Task{{}},
	}
	return h.step(Submitted{b, model.BuiltInProfile()})
}

// crashOneByOne crashes endpoints under first runs of tasks of a team, one after the other, and returns how many it took until the
// pool refused a job of the team.
func (h *harness) crashOneByOne(team model.TeamID) (crashed int) {
	for range h.live {
		fx := h.submitOf(team)
		if len(fx.Starts) == 0 {
			return crashed
		}
		h.now = h.now.Add(2 * failureInterval)
		h.step(Down{fx.Starts[0].Endpoint})
		crashed++
	}
	return crashed
}

func newUniformHarness(endpoints, slots int) *harness {
	all := make([]int, endpoints)
	for i := range all {
		all[i] = slots
	}
	return newHarness(all...)
}

// Guards against issue 29: first runs of one team's tasks took down all endpoints of a pool, and with them the work of all others.
func TestTeamWhoseTasksTakeEndpointsDownIsConfined(t *testing.T) {
	is := is.New(t)
	h := newUniformHarness(12, 2)
	other := h.submitOf("other").Starts[0]
	is.True(h.crashOneByOne("blamed") <= 3+12/endpointsPerConfined+1) // Until it is confined, and then its part of the pool.
	is.True(h.Load().Free > 0)
	fx := h.submitOf("other")
	is.Equal(len(fx.Starts), 1)
	refused := h.submitOf("blamed").Ended[0]
	is.True(refused.Refused)
	is.Equal(refused.Reason, model.ReasonOverload)
	is.True(refused.RetryAfter > 0)
	is.True(h.reply(other, port.TaskDone).Ended[0].Results[0].Done)
}

// Guards against teams that are confined since a rack has failed, or endpoints crash by themselves.
func TestTeamIsNotConfinedForEndpointsThatFailTogetherOrWithOthers(t *testing.T) {
	t.Run("together", func(t *testing.T) {
		is := is.New(t)
		h := newUniformHarness(12, 2)
		h.submitOf("other")
		var down []Start
		for range 6 {
			down = append(down, h.submitOf("team").Starts...)
		}
		for _, s := range down {
			h.step(Down{s.Endpoint})
		}
		is.Equal(len(h.submitOf("team").Starts), 1)
		is.True(!h.queue.teams["team"].failures.confined)
	})
	t.Run("with others", func(t *testing.T) {
		is := is.New(t)
		h := newUniformHarness(12, 2)
		for range 8 {
			for _, team := range []model.TeamID{"team", "other"} {
				s := h.submitOf(team).Starts[0]
				h.now = h.now.Add(2 * failureInterval)
				h.step(Down{s.Endpoint})
			}
			if h.live == 0 || h.Load().Slots < 4 {
				break
			}
		}
		is.True(!h.queue.teams["team"].failures.confined)
		is.True(!h.queue.teams["other"].failures.confined)
	})
}

// Guards against an installation with one team that loses most of its endpoints by this: there is nobody to protect.
func TestOnlyTeamIsNotConfined(t *testing.T) {
	is := is.New(t)
	h := newUniformHarness(12, 2)
	is.True(h.crashOneByOne("team") > 8)
}

// Guards against a team that stays confined after its tasks no longer crash their endpoints.
func TestConfinedTeamIsReleasedWhenItsTasksNoLongerCrash(t *testing.T) {
	is := is.New(t)
	h := newUniformHarness(12, 2)
	h.submitOf("other")
	h.crashOneByOne("blamed")
	is.True(h.queue.teams["blamed"].failures.confined)
	h.now = h.now.Add(2 * time.Second)
	for id, slots := range h.slots {
		h.announce(id, slots, model.EndpointServing) // All are back.
	}
	h.now = h.now.Add(2 * time.Second)
	for range 12 {
		h.step(Elapsed{})
		h.now = h.now.Add(200 * time.Millisecond)
	}
	is.True(!h.queue.teams["blamed"].failures.confined)
	for _, e := range h.endpointList {
		is.True(!e.confined)
	}
}

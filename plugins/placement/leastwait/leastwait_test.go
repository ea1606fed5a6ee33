package leastwait

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const meanRun = 300 * time.Millisecond

// poolLoad returns the load of a pool of 100 slots in a data centre.
func poolLoad(centre model.DataCentre, free, queued int) model.PoolLoad {
	return model.PoolLoad{
		Pool: model.PoolID{Service: "finder", DataCentre: centre}, Owner: model.NodeID(centre + "-a"),
		Slots: 100, Free: free, Queued: queued, QueuedRun: time.Duration(queued) * meanRun, MeanRun: meanRun,
	}
}

// planFor plans a job of the given number of tasks at member sj1-a, with the given cost of a message.
func planFor(tasks int, cost time.Duration, pools ...model.PoolLoad) port.Plan {
	job := model.Job{Tasks: make([]model.Task, tasks)}
	return Policy{}.Plan(port.PlanRequest{
		Job: job, Pools: pools, Self: "sj1-a", Near: "sj1", MessageCost: cost, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

// countTasks returns how many tasks go to each data centre, and checks that the plan covers all tasks.
func countTasks(is *is.I, p port.Plan, tasks int) map[model.DataCentre]int {
	is.Helper()
	counts := map[model.DataCentre]int{}
	seen := map[int]bool{}
	for _, part := range p.Parts {
		counts[part.Pool.DataCentre] += len(part.Tasks)
		for _, task := range part.Tasks {
			seen[task] = true
		}
	}
	is.Equal(len(seen), tasks)
	return counts
}

func TestPlanKeepsJobInNearPoolWithFreeSlots(t *testing.T) {
	is := is.New(t)
	p := planFor(20, time.Millisecond, poolLoad("sj2", 100, 0), poolLoad("sj1", 20, 0), poolLoad("sj3", 60, 0))
	is.Equal(countTasks(is, p, 20), map[model.DataCentre]int{"sj1": 20})
}

// Guards against long tasks in pools whose free slots are at slow endpoints, and against short tasks that take the fast ones.
func TestPlanSendsLongTasksWhereFastSlotsAreFree(t *testing.T) {
	is := is.New(t)
	fast, slow := poolLoad("sj2", 30, 0), poolLoad("sj3", 30, 0)
	fast.FreeFast = 30
	for declared, centre := range map[time.Duration]model.DataCentre{2 * meanRun: "sj2", meanRun / 2: "sj3"} {
		job := model.Job{Tasks: []model.Task{{Declared: declared}}}
		p := Policy{}.Plan(port.PlanRequest{Job: job, Pools: []model.PoolLoad{slow, fast}, Self: "sj1-a", Near: "sj1", Random: rand.New(rand.NewPCG(1, 1))})
		is.Equal(countTasks(is, p, 1), map[model.DataCentre]int{centre: 1})
	}
}

func TestPlanPrefersFreeRemotePoolToWaiting(t *testing.T) {
	is := is.New(t)
	p := planFor(20, time.Millisecond, poolLoad("sj1", 0, 50), poolLoad("sj2", 100, 0))
	is.Equal(countTasks(is, p, 20), map[model.DataCentre]int{"sj2": 20})
}

func TestPlanWeighsMessageCostAgainstResponseTime(t *testing.T) {
	is := is.New(t)
	pools := []model.PoolLoad{poolLoad("sj1", 40, 0), poolLoad("sj2", 40, 0), poolLoad("sj3", 40, 0)}
	is.Equal(len(planFor(100, time.Millisecond, pools...).Parts), 3) // All tasks start at once.
	is.Equal(len(planFor(100, time.Second, pools...).Parts), 1)      // Some tasks wait, and no messages are sent.
}

func TestPlanSplitsByWaitWhenPoolsAreFull(t *testing.T) {
	is := is.New(t)
	got := countTasks(is, planFor(160, 0, poolLoad("sj1", 0, 400), poolLoad("sj2", 0, 300)), 160)
	is.True(got["sj2"] > got["sj1"])
	is.True(got["sj2"]-got["sj1"] >= 80 && got["sj2"]-got["sj1"] <= 120)
}

func TestPlanRefusalDistinguishesNeverFitsFromNoEndpoint(t *testing.T) {
	is := is.New(t)
	small := poolLoad("sj1", 10, 0)
	small.Largest = model.Needs{MilliCores: 2}
	job := model.Job{Tasks: []model.Task{{Needs: model.Needs{MilliCores: 4}}}}
	request := port.PlanRequest{Job: job, Pools: []model.PoolLoad{small}, Random: rand.New(rand.NewPCG(1, 1))}
	is.Equal(Policy{}.Plan(request).Refused, model.ReasonNeverFits)
	request.Pools = nil
	is.Equal(Policy{}.Plan(request).Refused, model.ReasonNoEndpoint)
}

// BenchmarkPlan measures planning; one iteration plans one job.
func BenchmarkPlan(b *testing.B) {
	for _, pools := range []int{4, 12} {
		for _, tasks := range []int{1, 16, 160} {
			b.Run(fmt.Sprintf("pools=%d/tasks=%d", pools, tasks), func(b *testing.B) {
				var loads []model.PoolLoad
				for i := range pools {
					loads = append(loads, poolLoad(model.DataCentre("dc"+strconv.Itoa(i)), 10, i))
				}
				random := rand.New(rand.NewPCG(1, 1))
				job := model.Job{Tasks: make([]model.Task, tasks)}
				b.ReportAllocs()
				for b.Loop() {
					Policy{}.Plan(port.PlanRequest{Job: job, Pools: loads, Near: "dc1", MessageCost: time.Millisecond, Random: random})
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
			})
		}
	}
}

// Guards against a job of a team that has queued nothing and is refused for the queues of others.
func TestLeastWaitCountsNoQueuedWorkOfOthers(t *testing.T) {
	is := is.New(t)
	p := planFor(10, 0, poolLoad("sj1", 0, 1000))
	is.True(p.Wait > 3*time.Second)
	is.Equal(p.LeastWait, 10*meanRun/100)
	is.Equal(planFor(10, 0, poolLoad("sj1", 50, 0)).LeastWait, time.Duration(0))
}

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

func pool(centre model.DataCentre, free, queued int) model.PoolLoad {
	return model.PoolLoad{
		Pool: model.PoolID{Service: "finder", DataCentre: centre}, Owner: model.NodeID(centre + "-a"),
		Slots: 100, Free: free, Queued: queued, QueuedRun: time.Duration(queued) * meanRun, MeanRun: meanRun,
	}
}

func planFor(tasks int, cost time.Duration, pools ...model.PoolLoad) port.Plan {
	job := model.Job{Tasks: make([]model.Task, tasks)}
	return Policy{}.Plan(port.PlanRequest{
		Job: job, Pools: pools, Self: "sj1-a", Near: "sj1", MessageCost: cost, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

// counts returns how many tasks go to each data centre, and that each goes somewhere once.
func counts(is *is.I, p port.Plan, tasks int) map[model.DataCentre]int {
	is.Helper()
	all := map[model.DataCentre]int{}
	seen := map[int]bool{}
	for _, part := range p.Parts {
		all[part.Pool.DataCentre] += len(part.Tasks)
		for _, task := range part.Tasks {
			seen[task] = true
		}
	}
	is.Equal(len(seen), tasks)
	return all
}

func TestJobGoesWholeToTheNearPoolWithRoom(t *testing.T) {
	is := is.New(t)
	p := planFor(20, time.Millisecond, pool("sj2", 100, 0), pool("sj1", 20, 0), pool("sj3", 60, 0))
	is.Equal(counts(is, p, 20), map[model.DataCentre]int{"sj1": 20})
}

func TestJobGoesWholeToAFarPoolRatherThanWait(t *testing.T) {
	is := is.New(t)
	p := planFor(20, time.Millisecond, pool("sj1", 0, 50), pool("sj2", 100, 0))
	is.Equal(counts(is, p, 20), map[model.DataCentre]int{"sj2": 20})
}

func TestMessagesAreWeighedAgainstResponse(t *testing.T) {
	is := is.New(t)
	pools := []model.PoolLoad{pool("sj1", 40, 0), pool("sj2", 40, 0), pool("sj3", 40, 0)}
	is.Equal(len(planFor(100, time.Millisecond, pools...).Parts), 3) // All start at once.
	is.Equal(len(planFor(100, time.Second, pools...).Parts), 1)      // Some wait, and no message is sent.
}

func TestFullPoolsShareByTheirWaits(t *testing.T) {
	is := is.New(t)
	got := counts(is, planFor(160, 0, pool("sj1", 0, 400), pool("sj2", 0, 300)), 160)
	is.True(got["sj2"] > got["sj1"])
	is.True(got["sj2"]-got["sj1"] >= 80 && got["sj2"]-got["sj1"] <= 120)
}

func TestPlanTellsNeverFromNotNow(t *testing.T) {
	is := is.New(t)
	small := pool("sj1", 10, 0)
	small.Largest = model.Needs{MilliCores: 2}
	job := model.Job{Tasks: []model.Task{{Needs: model.Needs{MilliCores: 4}}}}
	request := port.PlanRequest{Job: job, Pools: []model.PoolLoad{small}, Random: rand.New(rand.NewPCG(1, 1))}
	is.Equal(Policy{}.Plan(request).Refused, model.ReasonNeverFits)
	request.Pools = nil
	is.Equal(Policy{}.Plan(request).Refused, model.ReasonNoEndpoint)
}

// BenchmarkPlan measures the plan of a job; an iteration is a job.
func BenchmarkPlan(b *testing.B) {
	for _, pools := range []int{4, 12} {
		for _, tasks := range []int{1, 16, 160} {
			b.Run(fmt.Sprintf("pools=%d/tasks=%d", pools, tasks), func(b *testing.B) {
				var loads []model.PoolLoad
				for i := range pools {
					loads = append(loads, pool(model.DataCentre("dc"+strconv.Itoa(i)), 10, i))
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

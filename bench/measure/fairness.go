package measure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/trace"
)

// fairness returns Jain's index over the work that each team got answered against its max-min
// fair share of what was answered in all: 1 when every team got its share.
func fairness(run Run) float64 {
	offered, got := make(map[string]float64), make(map[string]float64)
	total := 0.0
	for i, job := range run.Jobs {
		if job.CancelMS > 0 {
			continue
		}
		offered[job.Team] += job.Work().Seconds()
		if run.Results[i].Outcome == caller.Complete {
			got[job.Team] += job.Work().Seconds()
			total += job.Work().Seconds()
		}
	}
	fair := fairShares(offered, total)
	var shares []float64
	for _, team := range slices.Sorted(maps.Keys(offered)) {
		shares = append(shares, got[team]/max(fair[team], time.Millisecond.Seconds()))
	}
	return jain(shares)
}

// fairShares deals capacity out to demands evenly, none above its demand.
func fairShares(demands map[string]float64, capacity float64) map[string]float64 {
	teams := slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		return cmp.Or(cmp.Compare(demands[a], demands[b]), cmp.Compare(a, b))
	})
	shares := make(map[string]float64, len(teams))
	for i, team := range teams {
		shares[team] = min(demands[team], capacity/float64(len(teams)-i))
		capacity -= shares[team]
	}
	return shares
}

// jain returns Jain's fairness index; 1 for no values.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

func ratio(values []float64) Ratio {
	if len(values) == 0 {
		return Ratio{}
	}
	slices.Sort(values)
	return Ratio{Mean: stat.Mean(values, nil), P99: stat.Quantile(0.99, stat.Empirical, values, nil)}
}

func sortedKeys(jobs []trace.Job, key func(trace.Job) string) []string {
	seen := make(map[string]bool)
	for _, job := range jobs {
		seen[key(job)] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

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

// fairness returns Jain's index over the teams' ratios of their answered work to their max-min fair
// share of all answered work. It is 1 when every team got its fair share. Cancelled jobs do not count.
func fairness(run Run) float64 {
	offered, answered := make(map[string]float64), make(map[string]float64)
	total := 0.0
	for i, job := range run.Jobs {
		if job.CancelMS > 0 {
			continue
		}
		offered[job.Team] += job.Work().Seconds()
		if run.Results[i].Outcome == caller.Complete {
			answered[job.Team] += job.Work().Seconds()
			total += job.Work().Seconds()
		}
	}
	fairShare := maxMinShares(offered, total)
	var ratios []float64
	for _, team := range slices.Sorted(maps.Keys(offered)) {
		ratios = append(ratios, answered[team]/max(fairShare[team], time.Millisecond.Seconds()))
	}
	return jain(ratios)
}

// maxMinShares divides the capacity among the demands by max-min fairness: evenly, but none gets more
// than it demands.
func maxMinShares(demands map[string]float64, capacity float64) map[string]float64 {
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

// summarizeRatios returns the mean and the 99th percentile of the values, which it sorts in place.
func summarizeRatios(values []float64) Ratio {
	if len(values) == 0 {
		return Ratio{}
	}
	slices.Sort(values)
	return Ratio{Mean: stat.Mean(values, nil), P99: stat.Quantile(0.99, stat.Empirical, values, nil)}
}

// distinctKeys returns the different keys of the jobs, sorted.
func distinctKeys(jobs []trace.Job, key func(trace.Job) string) []string {
	seen := make(map[string]bool)
	for _, job := range jobs {
		seen[key(job)] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

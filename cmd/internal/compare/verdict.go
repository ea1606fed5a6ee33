package compare

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"redwingpulley/bench/caller"
)

// Targets for the shipped policy; each is the highest value that meets it.
const (
	maxMeanRatioAt50        = 1.05
	maxMeanRatioAt85        = 1.20
	maxP99RatioAt85         = 1.5
	maxMessagesPerTask      = 2.2
	maxWastedShareCalm      = 0.001
	maxWastedShareLoss      = 0.01
	maxSlotWaste            = 0.005
	maxP99RatioBesideGreedy = 1.10
)

// WriteTable writes a table with a line for each run.
func WriteTable(w io.Writer, rows []Row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\tjobs\tcomplete\tnot run\tmay have run\tideal refuses\tlate\tmean\tover ideal\tp99\tover floor\tmsg/task\tpeer/task\twasted\tslot waste\tJain\tbroken")
	for _, r := range rows {
		s, m := r.Service(), r.Report.Messages
		peers, _ := m.Peers()
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0fms\t%.3f\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f%%\t%.2f%%\t%.3f\t%d\n",
			r.Deployment, r.Scenario, r.Policy, s.Jobs, s.Outcomes[caller.Complete], s.Outcomes[caller.NotRun],
			s.Outcomes[caller.MayHaveRun], s.IdealRefused, s.IncompleteAfterStart, float64(s.Mean)/float64(time.Millisecond),
			s.Ratio.Mean, s.Ratio.P99, s.Floor.Mean, m.PerTask(), float64(peers)/float64(max(m.Tasks, 1)),
			100*m.WastedShare(), 100*r.Report.SlotTime.WastedShare(), r.Report.Fairness, len(r.Report.Violations))
	}
	t.Flush()
}

// verdict compares a measured figure with its target.
type verdict struct {
	what     string
	measured float64
	target   float64
}

// WriteVerdict writes the policy's figures and the targets, and whether each target is met. Targets of scenarios that
// were not run are left out.
func WriteVerdict(w io.Writer, rows []Row, policy string) {
	byScenario := make(map[string]map[string]Row)
	var order []string
	for _, r := range rows {
		if r.Policy != policy {
			continue
		}
		if byScenario[r.Deployment] == nil {
			byScenario[r.Deployment] = make(map[string]Row)
			order = append(order, r.Deployment)
		}
		byScenario[r.Deployment][r.Scenario] = r
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "deployment\ttarget for %s\tat most\tmeasured\tverdict\n", policy)
	for _, deployment := range order {
		for _, v := range verdicts(byScenario[deployment]) {
			result := "met"
			if v.measured > v.target {
				result = "MISSED"
			}
			fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%s\n", deployment, v.what, v.target, v.measured, result)
		}
	}
	t.Flush()
}

func verdicts(runs map[string]Row) (all []verdict) {
	add := func(scenario, what string, target float64, measured func(Row) float64) {
		if r, ok := runs[scenario]; ok {
			all = append(all, verdict{what, measured(r), target})
		}
	}
	add(scenarioHalf, "mean response over ideal at 50%", maxMeanRatioAt50, func(r Row) float64 { return r.Service().Ratio.Mean })
	add(scenarioHigh, "mean response over ideal at 85%", maxMeanRatioAt85, func(r Row) float64 { return r.Service().Ratio.Mean })
	add(scenarioHigh, "p99 response over ideal at 85%", maxP99RatioAt85, func(r Row) float64 { return r.Service().Ratio.P99 })
	add(scenarioCalm, "messages a task, all jobs, between all processes", maxMessagesPerTask, allMessagesPerTask)
	add(scenarioCalm, "share of messages wasted with no fault", maxWastedShareCalm, func(r Row) float64 { return r.Report.Messages.WastedShare() })
	add(scenarioLoss, "share of messages wasted while an entry VM dies", maxWastedShareLoss, func(r Row) float64 { return r.Report.Messages.WastedShare() })
	add(scenarioOver, "share of slot time wasted at 150%", maxSlotWaste, func(r Row) float64 { return r.Report.SlotTime.WastedShare() })
	add(scenarioBurst, "jobs that started and were late after a burst", 0, func(r Row) float64 { return float64(r.Service().IncompleteAfterStart) })
	if even, ok := runs[scenarioEven]; ok {
		add(scenarioGreedy, "others' p99 beside a greedy team over their p99 alone", maxP99RatioBesideGreedy, func(r Row) float64 {
			return float64(r.Others.P99) / float64(max(even.Others.P99, 1))
		})
	}
	for _, scenario := range slices.Sorted(maps.Keys(runs)) {
		broken := len(runs[scenario].Report.Violations)
		all = append(all, verdict{"promises broken in " + scenario, float64(broken), 0})
	}
	return all
}

func allMessagesPerTask(r Row) float64 {
	m := r.Report.Messages
	peers, _ := m.Peers()
	return m.PerTask() + float64(peers)/float64(max(m.Tasks, 1))
}

package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
)

// WriteTable writes the report as text for people to read.
func (r Report) WriteTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "service\tjobs\ttasks\tcomplete\tnot run\tmay have run\tunknown\twrong\tmean\tp99\tideal mean\tover ideal\tp99 over ideal")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.3f\t%.3f\n",
			s.Name, s.Jobs, s.Tasks, s.Outcomes[caller.Complete], s.Outcomes[caller.NotRun], s.Outcomes[caller.MayHaveRun],
			s.Outcomes[caller.Unknown], s.Outcomes[load.Wrong], formatMillis(s.Mean), formatMillis(s.P99), formatMillis(s.IdealMean), s.Ratio.Mean, s.Ratio.P99)
	}
	t.Flush()
	for _, s := range r.Services {
		for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
			fmt.Fprintf(w, "  %s: %d jobs %s\n", s.Name, s.Reasons[reason], reason)
		}
	}
	fmt.Fprintf(w, "messages between entry VMs and endpoints: %.3f a task, %.3f%% of them wasted\n", r.Messages.PerTask(), 100*r.Messages.WastedShare())
	if peers, counted := r.Messages.Peers(); counted {
		fmt.Fprintf(w, "messages between entry VMs for tasks: %.3f a task\n", float64(peers)/float64(max(r.Messages.Tasks, 1)))
	}
	fmt.Fprintf(w, "slot time on work whose answer nobody got: %.3f%%\n", 100*r.SlotTime.WastedShare())
	fmt.Fprintf(w, "fairness among teams (Jain): %.3f\n", r.Fairness)
	fmt.Fprintf(w, "promises broken: %d\n", len(r.Violations))
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

// PerTask returns the number of messages between entry VMs and endpoints per started task.
func (m Messages) PerTask() float64 { return float64(m.Endpoint) / float64(max(m.Tasks, 1)) }

// WastedShare returns the share of the messages between entry VMs and endpoints that were wasted.
func (m Messages) WastedShare() float64 { return float64(m.Wasted) / float64(max(m.Endpoint, 1)) }

// Peers returns the number of messages that entry VMs exchanged with each other for tasks. counted is
// false when the entry VMs have no counters for them.
func (m Messages) Peers() (count int64, counted bool) {
	requests, ok := m.Counters["messages.peer.requests"]
	return requests + m.Counters["messages.peer.replies"], ok
}

// WastedShare returns the share of the slot time that was spent on jobs whose answers no caller got.
func (s SlotTime) WastedShare() float64 {
	if s.Total == 0 {
		return 0
	}
	return float64(s.Wasted) / float64(s.Total)
}

// Package measure works out the users' measures from a run: response time against the ideal, wasted
// messages and slot time, refusals, fairness among teams, and whether any promise was broken.
package measure

import (
	"strings"
	"time"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/ideal"
	"redwingpulley/bench/load"
	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
)

// Report is the measures of one run.
type Report struct {
	Services []Service `json:"services"` // Sorted by name.
	Messages Messages  `json:"messages"`
	SlotTime SlotTime  `json:"slot_time"`
	Fairness float64   `json:"fairness"` // Jain's index over the teams' work against their fair shares.
	Broken   []string  `json:"broken"`   // Promises that did not hold; empty after a sound run.
}

// Service is the outcomes and response times of one service.
type Service struct {
	Name        string                 `json:"name"`
	Jobs        int                    `json:"jobs"`
	Tasks       int                    `json:"tasks"`
	Outcomes    map[caller.Outcome]int `json:"outcomes"`
	Reasons     map[string]int         `json:"reasons"`
	Cancelled   int                    `json:"cancelled"`     // Jobs that their callers cancelled.
	IdealRefuse int                    `json:"ideal_refused"` // Jobs that even the ideal must refuse.
	Mean        time.Duration          `json:"mean_ns"`
	P50         time.Duration          `json:"p50_ns"`
	P99         time.Duration          `json:"p99_ns"`
	IdealMean   time.Duration          `json:"ideal_mean_ns"` // Of the jobs that completed.
	Ratio       Ratio                  `json:"over_ideal"`    // Against an ideal with the jobs that completed.
	Floor       Ratio                  `json:"over_floor"`    // Against the longest task of each job.
	Late        int                    `json:"late"`          // Not complete although tasks had started.
}

// Ratio is response times over a reference, job by job.
type Ratio struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
}

// Messages counts messages from the endpoints' view and from the entry VMs' counters.
type Messages struct {
	Tasks    int              `json:"tasks"`    // Tasks that were started.
	Endpoint int              `json:"endpoint"` // Requests to endpoints and their answers.
	Wasted   int              `json:"wasted"`   // Of those, refused or repeated starts and revokes of jobs that no caller cancelled.
	Counters map[string]int64 `json:"counters"` // Of the entry VMs, summed; by name.
}

// SlotTime is licensed time that tasks took.
type SlotTime struct {
	Total  time.Duration `json:"total_ns"`
	Wasted time.Duration `json:"wasted_ns"` // On tasks whose job nobody got an answer of.
}

// Run is what a run left behind.
type Run struct {
	Jobs     []trace.Job
	Results  []load.Result
	Logs     []standin.Log
	Counters map[string]int64
	Slots    map[string]int // By service, of endpoints that the ideal may use.
}

// New works out the measures.
func New(run Run) Report {
	starts := startsByJob(run.Logs)
	report := Report{
		Messages: messages(run), SlotTime: slotTime(run),
		Fairness: fairness(run), Broken: broken(run, starts),
	}
	for _, name := range services(run.Jobs) {
		report.Services = append(report.Services, service(name, run, starts))
	}
	return report
}

func services(jobs []trace.Job) []string {
	return sortedKeys(jobs, func(j trace.Job) string { return j.Service })
}

func service(name string, run Run, starts map[string]int) Service {
	s := Service{Name: name}
	var jobs []trace.Job
	var results []load.Result
	for i, job := range run.Jobs {
		if job.Service == name {
			jobs = append(jobs, job)
			results = append(results, run.Results[i])
			s.Tasks += len(job.RunMS)
		}
	}
	summary := load.Summarize(results)
	s.Jobs, s.Outcomes, s.Reasons = summary.Jobs, summary.Outcomes, summary.Reasons
	s.Mean = time.Duration(summary.Responses.Mean()) * time.Microsecond
	s.P50, s.P99 = summary.Quantile(50), summary.Quantile(99)
	for i, best := range ideal.Schedule(run.Slots[name], jobs) {
		if best.Refused && jobs[i].CancelMS == 0 {
			s.IdealRefuse++
		}
	}
	s.against(run.Slots[name], jobs, results)
	for i, r := range results {
		if r.Outcome != caller.Complete && jobs[i].CancelMS == 0 && starts[r.ID] > 0 {
			s.Late++
		}
	}
	return s
}

// against compares the jobs that completed with an ideal that is given just these and the cancelled
// ones, so that both do the same work: jobs that were refused or failed here would otherwise slow
// the ideal alone.
func (s *Service) against(slots int, jobs []trace.Job, results []load.Result) {
	var same []trace.Job
	var responses []time.Duration // Of the jobs in same; 0 for cancelled ones.
	for i, r := range results {
		switch {
		case jobs[i].CancelMS > 0:
			s.Cancelled++
			same, responses = append(same, jobs[i]), append(responses, 0)
		case r.Outcome == caller.Complete:
			same, responses = append(same, jobs[i]), append(responses, r.Response)
		}
	}
	var overIdeal, overFloor []float64
	var total time.Duration
	for i, best := range ideal.Schedule(slots, same) {
		if best.Refused || responses[i] == 0 {
			continue
		}
		total += best.Response
		overIdeal = append(overIdeal, float64(responses[i])/float64(best.Response))
		overFloor = append(overFloor, float64(responses[i])/float64(best.Floor))
	}
	if len(overIdeal) > 0 {
		s.IdealMean = total / time.Duration(len(overIdeal))
	}
	s.Ratio, s.Floor = ratio(overIdeal), ratio(overFloor)
}

func startsByJob(logs []standin.Log) map[string]int {
	starts := make(map[string]int)
	for _, log := range logs {
		for _, r := range log.Records {
			if r.Started() {
				starts[jobOf(r.Task)]++
			}
		}
	}
	return starts
}

func jobOf(task string) string {
	cut := strings.LastIndexByte(task, '.')
	if cut < 0 {
		return ""
	}
	return task[:cut]
}

func messages(run Run) Messages {
	const both = 2 // A request and its answer.
	cancelled := make(map[string]bool)
	for i, job := range run.Jobs {
		if job.CancelMS > 0 {
			cancelled[run.Results[i].ID] = true
		}
	}
	m := Messages{Counters: run.Counters}
	for _, log := range run.Logs {
		for _, r := range log.Records {
			m.Endpoint += both
			switch {
			case r.Started():
				m.Tasks++
			case !r.Revoke || !cancelled[jobOf(r.Task)]:
				m.Wasted += both
			}
		}
	}
	return m
}

func slotTime(run Run) (s SlotTime) {
	answered := make(map[string]bool)
	for _, r := range run.Results {
		answered[r.ID] = r.Outcome == caller.Complete
	}
	for _, log := range run.Logs {
		for _, r := range log.Records {
			s.Total += r.Ran
			if !answered[jobOf(r.Task)] {
				s.Wasted += r.Ran
			}
		}
	}
	return s
}

// Package measure computes the figures of a benchmark run: response times relative to the ideal
// schedule, wasted messages and slot time, refusals, fairness among teams, and violations of the
// dispatcher's guarantees.
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

// Report holds the figures of one run.
type Report struct {
	Services   []Service `json:"services"` // Sorted by name.
	Messages   Messages  `json:"messages"`
	SlotTime   SlotTime  `json:"slot_time"`
	Fairness   float64   `json:"fairness"` // Jain's index over the ratios of the teams' answered work to their fair shares.
	Violations []string  `json:"broken"`   // Violations of guarantees; empty when all of them held.
}

// Service holds the outcomes and response times of the jobs of one service.
type Service struct {
	Name                 string                 `json:"name"`
	Jobs                 int                    `json:"jobs"`
	Tasks                int                    `json:"tasks"`
	Outcomes             map[caller.Outcome]int `json:"outcomes"`
	Reasons              map[string]int         `json:"reasons"`
	Cancelled            int                    `json:"cancelled"`     // Number of jobs that their callers cancelled.
	IdealRefused         int                    `json:"ideal_refused"` // Number of jobs, without the cancelled ones, that even the ideal schedule refuses.
	Mean                 time.Duration          `json:"mean_ns"`
	P50                  time.Duration          `json:"p50_ns"`
	P99                  time.Duration          `json:"p99_ns"`
	IdealMean            time.Duration          `json:"ideal_mean_ns"` // Mean response time in the ideal schedule of the jobs that completed.
	Ratio                Ratio                  `json:"over_ideal"`    // Response times over those in the ideal schedule of the jobs that completed.
	Floor                Ratio                  `json:"over_floor"`    // Response times over the run time of each job's longest task.
	IncompleteAfterStart int                    `json:"late"`          // Number of jobs, without the cancelled ones, that did not complete although tasks of them started.
}

// Ratio summarizes the ratios of response times to reference times, taken job by job.
type Ratio struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
}

// Messages holds message counts, as seen by the endpoints and by the entry VMs' counters.
type Messages struct {
	Tasks    int              `json:"tasks"`    // Number of started tasks.
	Endpoint int              `json:"endpoint"` // Requests to endpoints and their replies.
	Wasted   int              `json:"wasted"`   // Those of Endpoint that belong to refused or repeated starts or to revokes of jobs that no caller cancelled.
	Counters map[string]int64 `json:"counters"` // Counters by name, summed over the entry VMs.
}

// SlotTime is the licensed time for which tasks occupied slots.
type SlotTime struct {
	Total  time.Duration `json:"total_ns"`
	Wasted time.Duration `json:"wasted_ns"` // Slot time of tasks of jobs whose answers no caller got.
}

// Run holds the recorded data of a run.
type Run struct {
	Jobs     []trace.Job
	Results  []load.Result // Results of Jobs, in the same order.
	Logs     []standin.Log
	Counters map[string]int64
	Slots    map[string]int // Number of slots for the ideal schedule, by service.
}

// New computes the report of a run.
func New(run Run) Report {
	starts := startsByJob(run.Logs)
	report := Report{
		Messages: countMessages(run), SlotTime: sumSlotTime(run),
		Fairness: fairness(run), Violations: violations(run, starts),
	}
	for _, name := range serviceNames(run.Jobs) {
		report.Services = append(report.Services, measureService(name, run, starts))
	}
	return report
}

func serviceNames(jobs []trace.Job) []string {
	return distinctKeys(jobs, func(j trace.Job) string { return j.Service })
}

// measureService computes the figures of one service; starts is the number of started tasks by job.
func measureService(name string, run Run, starts map[string]int) Service {
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
	for i, optimal := range ideal.Schedule(run.Slots[name], jobs) {
		if optimal.Refused && jobs[i].CancelMS == 0 {
			s.IdealRefused++
		}
	}
	s.compareWithIdeal(run.Slots[name], jobs, results)
	for i, r := range results {
		if r.Outcome != caller.Complete && jobs[i].CancelMS == 0 && starts[r.ID] > 0 {
			s.IncompleteAfterStart++
		}
	}
	return s
}

// compareWithIdeal compares the response times of the completed jobs with those in an ideal schedule of
// only these and the cancelled jobs. So both do the same work: jobs that were refused or failed in the
// run would otherwise slow down the ideal schedule alone.
func (s *Service) compareWithIdeal(slots int, jobs []trace.Job, results []load.Result) {
	var compared []trace.Job
	var responses []time.Duration // Response times of the jobs in compared; 0 for cancelled jobs.
	for i, r := range results {
		switch {
		case jobs[i].CancelMS > 0:
			s.Cancelled++
			compared, responses = append(compared, jobs[i]), append(responses, 0)
		case r.Outcome == caller.Complete:
			compared, responses = append(compared, jobs[i]), append(responses, r.Response)
		}
	}
	var overIdeal, overFloor []float64
	var total time.Duration
	for i, optimal := range ideal.Schedule(slots, compared) {
		if optimal.Refused || responses[i] == 0 {
			continue
		}
		total += optimal.Response
		overIdeal = append(overIdeal, float64(responses[i])/float64(optimal.Response))
		overFloor = append(overFloor, float64(responses[i])/float64(optimal.Floor))
	}
	if len(overIdeal) > 0 {
		s.IdealMean = total / time.Duration(len(overIdeal))
	}
	s.Ratio, s.Floor = summarizeRatios(overIdeal), summarizeRatios(overFloor)
}

// startsByJob returns the number of started tasks by job id.
func startsByJob(logs []standin.Log) map[string]int {
	starts := make(map[string]int)
	for _, log := range logs {
		for _, r := range log.Records {
			if r.Started() {
				starts[jobID(r.Task)]++
			}
		}
	}
	return starts
}

// jobID returns the id of a task's job, which is the part of the task's id before its last dot.
func jobID(task string) string {
	dot := strings.LastIndexByte(task, '.')
	if dot < 0 {
		return ""
	}
	return task[:dot]
}

// countMessages counts each record of an endpoint as a request and its reply.
func countMessages(run Run) Messages {
	const perExchange = 2 // A request and its reply.
	cancelled := make(map[string]bool)
	for i, job := range run.Jobs {
		if job.CancelMS > 0 {
			cancelled[run.Results[i].ID] = true
		}
	}
	m := Messages{Counters: run.Counters}
	for _, log := range run.Logs {
		for _, r := range log.Records {
			m.Endpoint += perExchange
			switch {
			case r.Started():
				m.Tasks++
			case !r.Revoke || !cancelled[jobID(r.Task)]:
				m.Wasted += perExchange
			}
		}
	}
	return m
}

// sumSlotTime sums the slot time of all tasks and of those whose job did not complete.
func sumSlotTime(run Run) (s SlotTime) {
	answered := make(map[string]bool)
	for _, r := range run.Results {
		answered[r.ID] = r.Outcome == caller.Complete
	}
	for _, log := range run.Logs {
		for _, r := range log.Records {
			s.Total += r.Ran
			if !answered[jobID(r.Task)] {
				s.Wasted += r.Ran
			}
		}
	}
	return s
}

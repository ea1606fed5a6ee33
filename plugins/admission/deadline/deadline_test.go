package deadline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

func newRequest() port.AdmissionRequest {
	return port.AdmissionRequest{
		Tasks: 10, Remaining: 2 * time.Second, Expected: 500 * time.Millisecond, RunTime: time.Second,
		Work: 3 * time.Second, Fits: true, Slots: 10, Free: 10, QueueLimit: 100,
	}
}

func TestAdmitVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*port.AdmissionRequest)
		want   port.Verdict
	}{
		"free slots":    {func(*port.AdmissionRequest) {}, port.Verdict{Admit: true}},
		"no endpoint":   {func(r *port.AdmissionRequest) { r.Slots = 0 }, port.Verdict{Reason: model.ReasonNoEndpoint}},
		"no resources":  {func(r *port.AdmissionRequest) { r.Fits = false }, port.Verdict{Reason: model.ReasonNeverFits}},
		"runs too long": {func(r *port.AdmissionRequest) { r.Expected = 3 * time.Second }, refuse(time.Second)},
		"cautious run time ignored with free slots": {func(r *port.AdmissionRequest) { r.RunTime = 3 * time.Second }, port.Verdict{Admit: true}},
		"short wait": {func(r *port.AdmissionRequest) { r.QueuedTasks, r.Ahead = 5, 5*time.Second }, port.Verdict{Admit: true}},
		// 7.3 s of work ahead and 2.7 s of the batch's own, over 10 slots, are a wait of 1 s. With a margin
		// of an eighth and 1 s to run, the batch ends 125 ms after its deadline.
		"long wait": {func(r *port.AdmissionRequest) { r.QueuedTasks, r.Ahead = 5, 7300*time.Millisecond }, refuse(125 * time.Millisecond)},
		// The queue exceeds its limit by five tasks of 400 ms each, over 10 slots.
		"full queue": {func(r *port.AdmissionRequest) { r.QueuedTasks, r.QueuedWork = 95, 38*time.Second }, refuse(200 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRequest()
			test.change(&r)
			is.Equal(Policy{}.Admit(r), test.want)
		})
	}
}

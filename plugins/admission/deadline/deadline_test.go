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
		Tasks: 10, Remaining: 2 * time.Second, Expected: 500 * time.Millisecond, EndWithin: certain(500 * time.Millisecond),
		Work: 3 * time.Second, Fits: true, Slots: 10, Free: 10, QueueLimit: 100,
	}
}

// certain returns the probabilities of a batch that certainly runs for the given time.
func certain(run time.Duration) func(time.Duration) float64 {
	return func(limit time.Duration) float64 { return float64(min(limit/run, 1)) }
}

// likely returns the probabilities of a batch that ends within any time with the given probability.
func likely(probability float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return probability }
}

func waitOneSecond(r *port.AdmissionRequest) { r.QueuedTasks, r.Ahead = 5, 7300*time.Millisecond }

// TestAdmitVerdicts guards against refusals of batches of a class with a long tail, most of which would end in time, and against the
// admission of batches that would waste their slots.
func TestAdmitVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*port.AdmissionRequest)
		want   port.Verdict
	}{
		"free slots":          {func(*port.AdmissionRequest) {}, port.Verdict{Admit: true}},
		"no endpoint":         {func(r *port.AdmissionRequest) { r.Slots = 0 }, port.Verdict{Reason: model.ReasonNoEndpoint}},
		"no resources":        {func(r *port.AdmissionRequest) { r.Fits = false }, port.Verdict{Reason: model.ReasonNeverFits}},
		"runs too long":       {func(r *port.AdmissionRequest) { r.Expected, r.EndWithin = 3*time.Second, certain(3*time.Second) }, refuse(time.Second)},
		"long run not likely": {func(r *port.AdmissionRequest) { r.EndWithin = likely(0.51) }, port.Verdict{Admit: true}},
		"long run likely":     {func(r *port.AdmissionRequest) { r.EndWithin = likely(0.49) }, refuse(0)},
		"free slots beside tasks that wait for other endpoints": {func(r *port.AdmissionRequest) {
			waitOneSecond(r)
			r.Slots, r.Free, r.EndWithin = 15, 15, likely(0.51)
		}, port.Verdict{Admit: true}},
		"short wait": {func(r *port.AdmissionRequest) { r.QueuedTasks, r.Ahead = 5, 5*time.Second }, port.Verdict{Admit: true}},
		// 7.3 s of work ahead and 2.7 s of the batch's own, over 10 slots, are a wait of 1 s. With a margin
		// of an eighth and 1 s to run, the batch ends 125 ms after its deadline.
		"long wait": {func(r *port.AdmissionRequest) {
			waitOneSecond(r)
			r.Expected, r.EndWithin = time.Second, certain(time.Second)
		}, refuse(125 * time.Millisecond)},
		// With the margin the batch waits for 56% of the time that it has left, and has to end in time in 78% of cases.
		"long run rare after a wait":   {func(r *port.AdmissionRequest) { waitOneSecond(r); r.EndWithin = likely(0.79) }, port.Verdict{Admit: true}},
		"long run likely after a wait": {func(r *port.AdmissionRequest) { waitOneSecond(r); r.EndWithin = likely(0.77) }, refuse(0)},
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

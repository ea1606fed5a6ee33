package poolstate

import "time"

const (
	// MinPatience is the least wait for an answer before its endpoint is asked for the task.
	MinPatience = 2 * time.Second
	// patienceDecay is the part by which the longest run time shrinks with each shorter one.
	patienceDecay = 1024
)

// Patience tells how long to wait for an answer before the endpoint is asked, over a new
// connection, what became of the task: twice the longest run time seen of late, so that no question
// is asked while nothing is wrong. The zero value has seen none.
type Patience struct{ longest time.Duration }

// Observe enters the run time of a task that has answered.
func (p *Patience) Observe(run time.Duration) {
	if run >= p.longest {
		p.longest = run
		return
	}
	p.longest -= (p.longest - run) / patienceDecay
}

// Wait returns how long to wait for the answer of a task.
func (p *Patience) Wait() time.Duration { return max(MinPatience, 2*p.longest) }

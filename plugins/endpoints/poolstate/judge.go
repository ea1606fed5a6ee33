package poolstate

import (
	"time"

	"redwingpulley/kernel/port"
)

// Judge returns the verdict that a batch would get if it were submitted now. The batch is not accepted, and the machine's later
// decisions do not depend on whether it was judged.
func (m *Machine) Judge(now time.Time, s Submitted) port.Verdict {
	defer m.restore(m.remember())
	return m.admit(now, m.newBatch(now, &s))
}

// remembered is the state that a verdict changes: teams' demands decay, and a class of run times is added for a new team.
type remembered struct {
	demands     []demand
	removeAdded func() // Removes the classes of run times that were added.
}

func (m *Machine) remember() remembered {
	r := remembered{removeAdded: m.runTimes.Peek()}
	for _, t := range m.queue.teamsInOrder {
		r.demands = append(r.demands, t.demand)
	}
	return r
}

func (m *Machine) restore(r remembered) {
	r.removeAdded()
	for i, t := range m.queue.teamsInOrder {
		t.demand = r.demands[i]
	}
}

package poolstate

import (
	"maps"
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
	demands []demand
	classes map[teamSize]*stats
}

func (m *Machine) remember() remembered {
	r := remembered{classes: maps.Clone(m.runTimes.teams)}
	for _, t := range m.queue.teamsInOrder {
		r.demands = append(r.demands, t.demand)
	}
	return r
}

func (m *Machine) restore(r remembered) {
	m.runTimes.teams = r.classes
	for i, t := range m.queue.teamsInOrder {
		t.demand = r.demands[i]
	}
}

package poolstate

import (
	"time"

	"redwingpulley/kernel/port"
)

// Judge returns the verdict that a batch would get if it were submitted now. The batch is not accepted, and the machine's later
// decisions do not depend on whether it was judged.
func (m *Machine) Judge(now time.Time, s Submitted) port.Verdict {
	defer m.restore(m.save())
	return m.admit(now, m.newBatch(now, &s))
}

// savedState is the part of the machine's state that a verdict changes: teams' demands decay, and a class of run times is added for
// a new team.
type savedState struct {
	demands         []demand // In the order of queue.teamsInOrder.
	restoreRunTimes func()
}

func (m *Machine) save() savedState {
	s := savedState{restoreRunTimes: m.runTimes.Snapshot()}
	for _, t := range m.queue.teamsInOrder {
		s.demands = append(s.demands, t.demand)
	}
	return s
}

func (m *Machine) restore(s savedState) {
	s.restoreRunTimes()
	for i, t := range m.queue.teamsInOrder {
		t.demand = s.demands[i]
	}
}

package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/interference"
)

// separation keeps tasks of classes that slow each other down on different endpoints, while others have room. A class is a
// team's tasks.
type separation struct {
	table     *interference.Table                  // Nil while the pool does not separate.
	now       time.Time                            // Time of the step.
	apart     interference.ClassSet                // Classes that are kept apart from the task for which disturbed is asked.
	disturbed func(endpoint model.EndpointID) bool // Machine.disturbed; kept, since making a function value allocates.
}

// companion is what is known of a task at an endpoint as one that runs beside others.
type companion struct {
	class  interference.Class
	sentAt time.Time
	beside interference.Beside // Seconds beside tasks that have ended meanwhile.
}

// separateInterfering makes the pool learn which classes slow each other down, and keep them apart.
func (m *Machine) separateInterfering() {
	m.separation.table = interference.New()
	m.separation.disturbed = m.disturbed
}

// InterferingPairs returns the number of pairs of classes of which one slows the other down.
func (m *Machine) InterferingPairs() int {
	if m.separation.table == nil {
		return 0
	}
	return m.separation.table.Pairs()
}

// addCompanion adds a task that is sent to its endpoint.
func (m *Machine) addCompanion(t *task) {
	if m.separation.table != nil {
		class := m.separation.table.ClassOf(t.sentAt, t.batch.Team)
		t.endpoint.companions = append(t.endpoint.companions, companion{class: class, sentAt: t.sentAt})
	}
}

// removeCompanion removes a task whose end at its endpoint is known, and adds to the others there the time beside it.
func (m *Machine) removeCompanion(t *task) {
	if m.separation.table == nil {
		return
	}
	all := t.endpoint.companions
	ended := &all[t.slot]
	for i := range all {
		if i != t.slot {
			all[i].beside[ended.class] += m.secondsBeside(ended, &all[i])
		}
	}
	last := len(all) - 1
	all[t.slot] = all[last]
	t.endpoint.companions = all[:last]
}

// secondsBeside returns for how long two tasks have been at the same endpoint.
func (m *Machine) secondsBeside(a, b *companion) float32 {
	return float32(min(m.separation.now.Sub(a.sentAt), m.separation.now.Sub(b.sentAt)).Seconds())
}

// learnInterference learns from a run that ended by itself, if its time was measured. Its task is still among those of its endpoint.
func (m *Machine) learnInterference(t *task, took time.Duration, fx *Effects) {
	if m.separation.table == nil || t.timeUnknown {
		return
	}
	all := t.endpoint.companions
	ended := &all[t.slot]
	for i := range all {
		if i != t.slot {
			ended.beside[all[i].class] += m.secondsBeside(ended, &all[i])
		}
	}
	fx.Interference = append(fx.Interference, m.separation.table.Learn(m.separation.now, interference.Run{
		Class: ended.class, Took: m.nominalRun(t.endpoint, took), Expected: t.run.Mean, Beside: &ended.beside, Worker: &t.endpoint.worker,
	})...)
}

// disturbedFor returns the filter of endpoints that run a task of a class from which the task is kept apart, or nil when
// there is no such class. It is valid until the next call.
func (m *Machine) disturbedFor(now time.Time, t *task) func(model.EndpointID) bool {
	s := &m.separation
	if s.table == nil || s.table.Pairs() == 0 {
		return nil
	}
	if s.apart = s.table.KeptApart(s.table.ClassOf(now, t.batch.Team)); s.apart == 0 {
		return nil
	}
	return s.disturbed
}

// disturbed reports whether the endpoint runs a task of a class in separation.apart.
func (m *Machine) disturbed(id model.EndpointID) bool {
	all := m.endpoints[id].companions
	for i := range all {
		if m.separation.apart.Contains(all[i].class) {
			return true
		}
	}
	return false
}

package register

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

// Where writes to disk take time, effects wait as in the plug-in: those of a step are executed once the write of the newest durable state
// among those that wait has ended. A process that ends before that executes none of them.

// issued is an effect, with the identity that its member had when the machine issued it.
type issued struct {
	effect Effect
	sender model.NodeID
}

// writes are the effects of a member that wait for a write.
type writes struct {
	queue []issued  // Those that wait for the write under way to end before theirs begins.
	batch []issued  // Those that are executed when the write under way has ended; nil without one.
	ends  time.Time // End of the write under way.
}

func (sim *simulation) enqueue(id model.NodeID, effects []Effect) {
	w, sender := &sim.members[id].writes, sim.identity(id)
	for _, effect := range effects {
		w.queue = append(w.queue, issued{effect, sender})
	}
	sim.startWrite(id)
}

// startWrite begins the next write of a member, and executes the effects that wait for none.
func (sim *simulation) startWrite(id model.NodeID) {
	w := &sim.members[id].writes
	for w.batch == nil && len(w.queue) > 0 {
		batch := w.queue
		w.queue = nil
		if newestDurable(batch) == nil {
			sim.executeWritten(id, batch)
			continue
		}
		w.batch, w.ends = batch, sim.now.Add(time.Duration(sim.random.Int64N(int64(sim.writeTime)+1)))
	}
}

// newestDurable returns the durable state of the last Persist among effects, nil without one.
func newestDurable(effects []issued) *Durable {
	for _, i := range slices.Backward(effects) {
		if persist, ok := i.effect.(Persist); ok {
			return &persist.Durable
		}
	}
	return nil
}

// nextWrite returns the member whose write ends first before the time limit, and when; "" and limit when there is none.
func (sim *simulation) nextWrite(limit time.Time) (id model.NodeID, ends time.Time) {
	ends = limit
	for _, candidate := range sim.memberIDs {
		if n := sim.members[candidate]; !n.down && n.writes.batch != nil && n.writes.ends.Before(ends) {
			id, ends = candidate, n.writes.ends
		}
	}
	return id, ends
}

func (sim *simulation) finishWrite(id model.NodeID) {
	w := &sim.members[id].writes
	batch := w.batch
	w.batch = nil
	sim.syncFile(id, newestDurable(batch))
	sim.executeWritten(id, batch)
	sim.startWrite(id)
}

// executeWritten executes effects after the write of the newest durable state among them.
func (sim *simulation) executeWritten(id model.NodeID, batch []issued) {
	for _, i := range batch {
		if persist, ok := i.effect.(Persist); ok {
			sim.execute(id, i.sender, persist.Then)
			continue
		}
		sim.execute(id, i.sender, []Effect{i.effect})
	}
}

// abortWrite ends the write of a process that ends: its file is the former one or the new one.
func (sim *simulation) abortWrite(id model.NodeID) {
	w := &sim.members[id].writes
	if durable := newestDurable(w.batch); durable != nil && sim.random.IntN(2) == 0 {
		sim.syncFile(id, durable)
	}
	*w = writes{}
}

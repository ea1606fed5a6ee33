package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/crashes"
)

// recordLoss records that the run of the task at its endpoint was lost for the given cause.
func (t *task) recordLoss(cause port.LossCause) {
	if loss, counts := crashes.LossOf(t.endpoint.ID, cause); counts {
		t.losses, _ = crashes.Add(t.losses, loss)
	}
}

// giveUpExhausted ends a batch that has just been accepted if too many endpoints have crashed under one of its tasks before.
func (m *Machine) giveUpExhausted(now time.Time, b *batch, fx *Effects) {
	for i := range b.tasks {
		if crashes.Judge(b.tasks[i].losses) == crashes.Exhausted {
			m.cancel(now, b, model.ReasonEndpointsCrashed, fx)
			return
		}
	}
}

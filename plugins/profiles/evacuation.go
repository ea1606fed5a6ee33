package profiles

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
)

// orderTimeout is the longest time that an order about an evacuation takes. Its sender then tries another member, and has to do
// so more than once within 5 s.
const orderTimeout = 1500 * time.Millisecond

// Order submits an order about an evacuation to the replicas. It expects the state of the data centre that is in force here.
func (p *Profiles) Order(ctx context.Context, dc model.DataCentre, evacuate bool) model.EditStatus {
	current, known := p.Current()
	if !known {
		return model.EditNoMajority
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	kind := model.EndEvacuation
	if evacuate {
		kind = model.Evacuate
	}
	// Each order has an ID of its own: one that is given again later must not get the result of the first.
	id := string(kind) + "-" + string(dc) + "-" + rand.Text()
	return p.Edit(ctx, model.ProfileEdit{ID: id, Expect: current.Revision, Kind: kind, DataCentre: dc}).Status
}

// logRefusedOrder logs an order about an evacuation that is not known to be in force.
func (p *Profiles) logRefusedOrder(edit model.ProfileEdit, result model.EditResult) {
	if edit.DataCentre != "" {
		event.EvacuationRefused.Log(p.log, event.Text(event.DataCentre, edit.DataCentre), event.Text(event.Edit, edit.ID), event.Text(event.Status, result.Status))
	}
}

// logEvacuations logs the evacuations that come into force with a state, or end.
func (p *Profiles) logEvacuations(former, state *register.State) {
	var before model.ProfileSet
	if former != nil {
		before = former.Set
	}
	for dc, e := range state.Set.Evacuations {
		if e.Active == before.Evacuated(dc) {
			continue
		}
		kind := event.EvacuationEnded
		if e.Active {
			kind = event.EvacuationInForce
		}
		kind.Log(p.log, event.Text(event.DataCentre, dc), event.Int(event.Revision, e.Changed))
	}
}

// registerEvacuationGauge registers the number of data centres that are evacuated by the state in force here.
func (p *Profiles) registerEvacuationGauge(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("evacuations.active", registry, func() int64 {
		current, _ := p.Current()
		return int64(len(current.ActiveEvacuations()))
	})
}

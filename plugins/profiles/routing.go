package profiles

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	// declareTimeout bounds a declaration: who sent it asks another member after it.
	declareTimeout = 3 * time.Second
	confirmTimeout = 1500 * time.Millisecond
)

// Declared returns the newest routing that is known here.
func (p *Profiles) Declared() *model.Routing {
	state := p.serving.Load()
	if state == nil {
		return nil
	}
	return state.Set.Routing
}

// Declare has the replicas agree on a routing.
func (p *Profiles) Declare(ctx context.Context, routing model.Routing) port.Declaration {
	if fault := routing.Fault(); fault != "" {
		event.ConfigRefused.Log(p.log, event.Count(event.Version, routing.Version), event.Text(event.Status, string(port.DeclareInvalid)), event.Text(event.Why, fault))
		return port.Declaration{Status: port.DeclareInvalid, Detail: fault}
	}
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	digest := xxhash.Sum64(routing.Document)
	current, _ := p.Current()
	result := p.Edit(ctx, model.ProfileEdit{
		ID:     "routing-" + strconv.FormatUint(routing.Version, 10) + "-" + strconv.FormatUint(digest, 16),
		Digest: digest, Expect: current.Revision, Kind: model.DeclareRouting, Routing: &routing,
	})
	if result.Status != model.EditDone {
		return port.Declaration{Status: port.DeclareUnsure}
	}
	return port.Declaration{Status: port.DeclareDone}
}

// Confirmed has the replicas confirm the newest revision and returns its routing once it is in
// force here.
func (p *Profiles) Confirmed(ctx context.Context) (*model.Routing, bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	begun := time.Now()
	result := p.Edit(ctx, model.ProfileEdit{Kind: model.ConfirmRevision})
	if result.Status != model.EditDone {
		event.ConfigUnconfirmed.Log(p.log, event.Text(event.Status, result.Status), event.MS(event.TookMS, time.Since(begun)))
		return nil, false
	}
	state := p.serving.Load()
	if state == nil || state.Revision() < result.Revision {
		return nil, false
	}
	return state.Set.Routing, true
}

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
	// declareTimeout is the longest time that a declaration takes. Its sender then tries another member.
	declareTimeout = 3 * time.Second
	// confirmTimeout is the longest time that a confirmation of the newest revision takes.
	confirmTimeout = 1500 * time.Millisecond
)

// Declared returns the routing in force here, which must not be changed; nil while there is none.
func (p *Profiles) Declared() *model.Routing {
	state := p.serving.Load()
	if state == nil {
		return nil
	}
	return state.Set.Routing
}

// Declare validates a routing and submits it to the replicas. The status of a valid declaration that is
// not done is DeclareUnknown: it may still come into force, and may be sent again.
func (p *Profiles) Declare(ctx context.Context, routing model.Routing) port.Declaration {
	if fault := routing.Fault(); fault != "" {
		event.ConfigRefused.Log(p.log, event.Int(event.Version, routing.Version), event.Text(event.Status, string(port.DeclareInvalid)), event.Text(event.Why, fault))
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
		return port.Declaration{Status: port.DeclareUnknown}
	}
	return port.Declaration{Status: port.DeclareDone}
}

// Confirmed has a majority of the replicas confirm the newest revision, and returns that revision's
// routing, or a newer one, once it is in force here. It returns false when the revision is not
// confirmed, or not in force here in time.
func (p *Profiles) Confirmed(ctx context.Context) (*model.Routing, bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	startedAt := time.Now()
	result := p.Edit(ctx, model.ProfileEdit{Kind: model.ConfirmRevision})
	if result.Status != model.EditDone {
		event.ConfigUnconfirmed.Log(p.log, event.Text(event.Status, result.Status), event.MS(event.TookMS, time.Since(startedAt)))
		return nil, false
	}
	state := p.serving.Load()
	if state == nil || state.Revision() < result.Revision {
		return nil, false
	}
	return state.Set.Routing, true
}

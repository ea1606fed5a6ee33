package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
)

const (
	warmUpTimeout     = 20 * time.Second      // Maximum wait until all endpoints have announced themselves, or until all entry VMs know them.
	loadsPollInterval = 20 * time.Millisecond // Time between two polls of AwaitLoads: members don't signal that a load has arrived.
)

// awaitProfiles waits until every entry VM has learned a revision of the profiles.
func (g *Group) awaitProfiles(ctx context.Context) error {
	for _, host := range g.Hosts {
		profiles, err := plugin.Lookup[port.Profiles](host)
		if err != nil {
			return err
		}
		register, err := plugin.Lookup[port.ProfileRegister](host)
		if err != nil {
			return err
		}
		if err := awaitRevision(ctx, profiles, register); err != nil {
			return err
		}
	}
	return nil
}

// awaitRevision waits until an entry VM has learned a revision of the profiles.
func awaitRevision(ctx context.Context, profiles port.Profiles, register port.ProfileRegister) error {
	for {
		changed := register.Changed()
		if _, ok := profiles.Current(); ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Newf("no revision of the profiles was learned: %v", ctx.Err())
		}
	}
}

// awaitEndpoints waits until every endpoint has announced itself.
func (g *Group) awaitEndpoints(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	for _, e := range g.Endpoints {
		select {
		case <-e.Announced():
		case <-ctx.Done():
			return errors.Newf("endpoint %s was not accepted: %v", e.ID(), ctx.Err())
		}
	}
	return nil
}

// AwaitLoads waits until each entry VM is ready and knows the slots of all endpoints. Before that, a job may be
// refused because no endpoint is known.
func (g *Group) AwaitLoads(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	for _, host := range g.Hosts {
		pools, err := plugin.Lookup[port.Pools](host)
		if err != nil {
			return err
		}
		for !g.knowsAllSlots(host, pools) {
			if !wait.For(ctx, loadsPollInterval) {
				return errors.Newf("the entry VMs do not know all pools: %v", ctx.Err())
			}
		}
	}
	return nil
}

// knowsAllSlots reports whether an entry VM is ready and knows the slots of all endpoints.
func (g *Group) knowsAllSlots(host *plugin.Host, pools port.Pools) bool {
	if ready, _ := host.Health.Ready(); !ready {
		return false
	}
	for service, slots := range g.Slots() {
		known := 0
		for _, load := range pools.Loads(model.ServiceID(service)) {
			known += load.Slots
		}
		if known < slots {
			return false
		}
	}
	return true
}

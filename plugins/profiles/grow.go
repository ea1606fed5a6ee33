package profiles

import (
	"context"
	"fmt"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/disk"
	"redwingpulley/plugins/profiles/occupancy"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

const (
	// growthInterval is the time between two attempts to add a place to the group.
	growthInterval = 5 * time.Second
	// followInterval is the time until the next attempt after a live member could not follow: all members are asked.
	followInterval = time.Minute
)

// wantedReplicas returns the number of replicas that the tolerated number of lost disks needs.
func (p *Profiles) wantedReplicas() int { return max(minReplicas, 2*p.settings.ToleratedDisks+1) }

// growGroup has the register add a place for a spare member, where the group is smaller than the tolerated number of lost disks
// needs. Only the holder of the first place does so, while all holders vote and all live members can follow.
func (p *Profiles) growGroup(view occupancy.View) {
	candidate, ok := view.PlaceToAdd(p.wantedReplicas())
	if !ok || !p.holdsFirstPlace() || time.Now().Before(p.growAt) {
		return
	}
	p.growAt = time.Now().Add(growthInterval)
	ctx, cancel := context.WithTimeout(p.ctx, reportTimeout)
	defer cancel()
	set, serving := p.Current()
	if !serving || !p.allVote(ctx) {
		return
	}
	if !p.allFollowGroups(ctx) {
		p.growAt = time.Now().Add(followInterval)
		return
	}
	p.Edit(p.ctx, model.ProfileEdit{
		ID: fmt.Sprintf("add-replica-%d-%s", len(p.replicas())+1, candidate), Expect: set.Revision,
		Operator: string(p.self), Kind: model.AddReplica, Replica: candidate,
	})
}

func (p *Profiles) holdsFirstPlace() bool {
	first, _ := p.holder(p.replicas()[0])
	return first == p.self && p.Replica() == port.ReplicaVoter
}

// allVote reports whether the holders of all places vote.
func (p *Profiles) allVote(ctx context.Context) bool {
	reports := p.requestReports(ctx)
	return !slices.ContainsFunc(p.replicas(), func(place model.NodeID) bool { return reports[place].State != port.PlaceVoter })
}

// allFollowGroups reports whether all live members follow a group that grows. One of an earlier version would apply
// the change without its group.
func (p *Profiles) allFollowGroups(ctx context.Context) bool {
	alive := p.membership.Alive()
	answers := make(chan bool, len(alive))
	for _, n := range alive {
		go func() {
			var reply wire.PlaceReport
			answers <- n.ID == p.self || p.peers.Call(ctx, n.ID, methodPlace, wire.PlaceRequest{}, &reply) == port.Delivered && reply.Groups
		}()
	}
	all := true
	for range alive {
		all = <-answers && all
	}
	return all
}

// regroup goes on with a machine of a later group of replicas. It returns false when the machine that reports the group is not
// the present one any more; that one will report it as well.
func (p *Profiles) regroup(e register.Regrouped) bool {
	group := newGroup(e.Replicas)
	place, since := p.ownPlace(), p.heldSince()
	if place == p.self && p.path == "" && slices.Contains(group.replicas, place) {
		place += placelessSuffix // Without a disk this member can have no place.
	}
	loaded := disk.Loaded{Durable: &e.Durable, Since: since}
	installed := p.installMachineIf(group, place, loaded, register.Store{}, func() bool { return p.core.machine.Seed() == e.Run })
	if !installed {
		return false
	}
	p.publishGroup()
	p.step(register.Woken{})
	return true
}

// heldSince returns when this member took its place; zero where that is not known.
func (p *Profiles) heldSince() time.Time {
	p.core.Lock()
	defer p.core.Unlock()
	return p.core.heldSince
}

package endpoints

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

const (
	topicParts = "parts" // Gossip topic of a list of groupParts.
	maxParts   = 64      // Highest number of pools in a group.
	// splitDelay is the time from the first sign of a large pool to its split, so that endpoints that are
	// announced at about the same time are counted together.
	splitDelay = 500 * time.Millisecond
	// splitAgainDelay is the same time where the group has been split before, and the least time between two splits,
	// whichever members order them: until the endpoints have left the pools that they no longer belong to, some count twice.
	splitAgainDelay = 3 * time.Second
)

// partCount is the number of pools in a group.
type partCount struct {
	count    int
	raisedAt time.Time // When this member last learned of a higher number.
}

// groupParts is an entry of the gossiped list: the number of pools in a group. The number only grows while
// the members run: those that learn of different numbers use the largest, so that no consensus is needed.
type groupParts struct {
	Service    model.ServiceID  `json:"s"`
	DataCentre model.DataCentre `json:"d"`
	Parts      int              `json:"n"`
}

// poolGroup identifies the pools of one service in one data centre, among which its endpoints are split.
type poolGroup struct {
	service    model.ServiceID
	dataCentre model.DataCentre
}

func groupOf(id model.PoolID) poolGroup { return poolGroup{id.Service, id.DataCentre} }

// partsIn returns the number of pools in the group.
func (p *Pools) partsIn(group poolGroup) int {
	parts, _ := p.parts.Get(group)
	return max(parts.count, p.settings.PoolsPerDataCentre, 1)
}

// poolOf returns the pool that the endpoint belongs to.
func (p *Pools) poolOf(e model.Endpoint) model.PoolID {
	return p.poolAt(poolGroup{e.Service, e.DataCentre}, e.Address)
}

// poolAt returns the pool of a group that an endpoint belongs to, by the hash of its address, which all its incarnations share.
func (p *Pools) poolAt(group poolGroup, address string) model.PoolID {
	part := int(xxhash.Sum64String(address) % uint64(p.partsIn(group)))
	return model.PoolID{Service: group.service, DataCentre: group.dataCentre, Part: part}
}

// splitIfLarge schedules a split of the pools in the group when this one has too many endpoints for one
// owner. It is called for announcements of leased endpoints, since a split moves no others.
func (p *Pools) splitIfLarge(id model.PoolID) {
	if !p.tooLarge(id) {
		return
	}
	pending := false
	p.splitPending.Do(groupOf(id), func(all map[poolGroup]bool) {
		pending = all[groupOf(id)]
		all[groupOf(id)] = true
	})
	if pending {
		return
	}
	delay := splitDelay
	if p.partsIn(groupOf(id)) > 1 {
		delay = splitAgainDelay
	}
	time.AfterFunc(delay, func() { p.splitWhenSettled(id) })
}

// splitWhenSettled splits the pools in the group if this one is still too large. It waits until splitAgainDelay has passed
// since the latest split of the group, which may have been ordered by another member after this one was scheduled.
func (p *Pools) splitWhenSettled(id model.PoolID) {
	if last, _ := p.parts.Get(groupOf(id)); !last.raisedAt.IsZero() {
		if wait := splitAgainDelay - time.Since(last.raisedAt); wait > 0 {
			time.AfterFunc(wait, func() { p.splitWhenSettled(id) })
			return
		}
	}
	p.splitPending.Delete(groupOf(id))
	if p.baseCtx.Err() == nil && p.owns(id) && p.tooLarge(id) {
		p.raiseParts(groupOf(id), p.requiredParts(id))
	}
}

// tooLarge reports whether the pool has more serving endpoints than the settings allow, and the pools of its group have
// so many on average: one that is large by the chance of the hash is no reason to halve all of them.
func (p *Pools) tooLarge(id model.PoolID) bool {
	limit := p.endpointsPerPool(groupOf(id))
	return limit > 0 && p.servingEndpoints(id) > limit && p.meanServing(id) > limit
}

// endpointsPerPool returns the number of endpoints above which the pools of a group are split, by the mean weight that callers
// leave the members that can own them; 0 if they are never split.
func (p *Pools) endpointsPerPool(group poolGroup) int {
	if p.settings.SplitAbove == 0 {
		return 0
	}
	owners := eligibleOwners(p.membership.Alive(), group.dataCentre)
	left := totalWeight(owners)/float64(len(owners)) - p.settings.CallersWeight
	limit := float64(p.settings.SplitAbove) * left
	return max(int(math.Round(limit)), 1)
}

// meanServing returns the number of endpoints that the pools of this one's group serve on average, by the loads that their owners
// report, and at most this pool's own. Slots would mislead: pools learn at different times how many tasks fill an endpoint.
func (p *Pools) meanServing(id model.PoolID) int {
	own := p.servingEndpoints(id)
	endpoints, pools := own, 1
	for _, load := range p.reportedLoads(id.Service) {
		if load.Pool != id && groupOf(load.Pool) == groupOf(id) && load.Pool.Part < p.partsIn(groupOf(id)) {
			endpoints += load.Endpoints
			pools++
		}
	}
	return min(own, endpoints/pools)
}

// servingEndpoints returns the number of the pool's endpoints that get work.
func (p *Pools) servingEndpoints(id model.PoolID) (count int) {
	p.withPool(id, func(o *pool) { count = o.machine.ServingEndpoints() })
	return count
}

// requiredParts returns the number of pools in the group at which this one is no longer too large.
func (p *Pools) requiredParts(id model.PoolID) int {
	parts := p.partsIn(groupOf(id))
	limit := p.endpointsPerPool(groupOf(id))
	for serving := p.meanServing(id); serving > limit && parts < maxParts; serving /= 2 {
		parts *= 2
	}
	return parts
}

// raiseParts raises the number of pools in a group. It publishes the number to the other members and hands
// over the endpoints that belong to other pools now.
func (p *Pools) raiseParts(group poolGroup, parts int) {
	if parts <= p.partsIn(group) || parts > maxParts {
		return
	}
	p.parts.Do(group, func(all map[poolGroup]partCount) {
		if parts > all[group].count {
			all[group] = partCount{parts, time.Now()}
		}
	})
	event.PoolsSplit.Log(p.log, event.Text(event.Service, group.service), event.Text(event.DataCentre, group.dataCentre), event.Int(event.Parts, parts))
	if p.publishesPartsOf(group) {
		p.publishParts()
	}
	for _, id := range p.poolIDs() {
		if groupOf(id) == group {
			p.redistribute(id)
		}
	}
}

// publishesPartsOf reports whether this member publishes the number of pools in the group: when that is in its own data
// centre, or when it owns one of them because no member there can. So the published values do not grow with the number of
// data centres times that of members.
func (p *Pools) publishesPartsOf(group poolGroup) bool {
	if group.dataCentre == p.membership.Self().DataCentre {
		return true
	}
	return slices.ContainsFunc(p.poolIDs(), func(id model.PoolID) bool { return groupOf(id) == group && p.owns(id) })
}

// publishParts publishes the raised numbers of pools by gossip.
func (p *Pools) publishParts() {
	var all []groupParts
	p.parts.Each(func(parts map[poolGroup]partCount) {
		for group, n := range parts {
			all = append(all, groupParts{group.service, group.dataCentre, n.count})
		}
	})
	all = slices.DeleteFunc(all, func(g groupParts) bool { return !p.publishesPartsOf(poolGroup{g.Service, g.DataCentre}) })
	slices.SortFunc(all, func(a, b groupParts) int {
		return strings.Compare(string(a.Service)+" "+string(a.DataCentre), string(b.Service)+" "+string(b.DataCentre))
	})
	if value, err := json.Marshal(all); err == nil {
		p.gossip.Publish(topicParts, value)
	}
}

// handleGossipedParts handles the numbers of pools that another member has published.
func (p *Pools) handleGossipedParts(from model.NodeID, value []byte) {
	var all []groupParts
	if err := json.Unmarshal(value, &all); err != nil {
		event.PartsUnreadable.Log(p.log, event.Text(event.Member, from), event.Err(err))
		return
	}
	for _, d := range all {
		go p.raiseParts(poolGroup{d.Service, d.DataCentre}, d.Parts) // A gossip subscriber must not block.
	}
}

// redistribute hands over the leased endpoints of a pool that belong to other pools by now. The tasks that
// run on them end in this pool, which starts no more there.
func (p *Pools) redistribute(id model.PoolID) {
	leaving := make(map[model.PoolID][]model.Endpoint)
	var moved []model.EndpointID
	var all []model.Endpoint
	p.withPool(id, func(o *pool) { all = o.machine.Handover() })
	for _, e := range all {
		if next := p.poolOf(e); e.Leased && next != id {
			leaving[next] = append(leaving[next], e)
			moved = append(moved, e.ID)
		}
	}
	if len(moved) == 0 {
		return
	}
	p.step(id, poolstate.Departed{Endpoints: moved})
	p.passOn(leaving, false)
}

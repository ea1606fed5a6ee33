package endpoints

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

const (
	topicParts = "parts"
	maxParts   = 64
	// splitDelay lets the endpoints that come at the same time be counted together.
	splitDelay = 500 * time.Millisecond
)

// division is the endpoints of one service in one data centre, and into how many pools they are split.
// The number only grows while the group runs: members that hear of different ones take the largest, and
// need no agreement.
type division struct {
	Service    model.ServiceID  `json:"s"`
	DataCentre model.DataCentre `json:"d"`
	Parts      int              `json:"n"`
}

// place names a division.
type place struct {
	service    model.ServiceID
	dataCentre model.DataCentre
}

func placeOf(id model.PoolID) place { return place{id.Service, id.DataCentre} }

// partsAt returns into how many pools the endpoints there are split.
func (p *Pools) partsAt(at place) int {
	parts, _ := p.parts.Get(at)
	return max(parts, p.settings.PoolsPerDataCentre, 1)
}

func (p *Pools) poolOf(e model.Endpoint) model.PoolID {
	parts := p.partsAt(place{e.Service, e.DataCentre})
	part := int(xxhash.Sum64String(string(e.ID)) % uint64(parts))
	return model.PoolID{Service: e.Service, DataCentre: e.DataCentre, Part: part}
}

// splitIfLarge splits the pools of a division in two when this one has too many endpoints for one owner.
func (p *Pools) splitIfLarge(id model.PoolID) {
	if !p.isLarge(id) {
		return
	}
	waits := false
	p.splitting.Do(placeOf(id), func(all map[place]bool) {
		waits = all[placeOf(id)]
		all[placeOf(id)] = true
	})
	if waits {
		return
	}
	time.AfterFunc(splitDelay, func() {
		p.splitting.Delete(placeOf(id))
		if p.life.Err() == nil && p.owns(id) {
			p.raise(placeOf(id), p.wantedParts(id))
		}
	})
}

func (p *Pools) isLarge(id model.PoolID) bool {
	return p.settings.SplitAbove > 0 && p.servingIn(id) > p.settings.SplitAbove
}

func (p *Pools) servingIn(id model.PoolID) (count int) {
	p.withPool(id, func(o *pool) { count = o.machine.Serving() })
	return count
}

// wantedParts returns the number of pools with which this one is no longer too large.
func (p *Pools) wantedParts(id model.PoolID) int {
	parts := p.partsAt(placeOf(id))
	for serving := p.servingIn(id); serving > p.settings.SplitAbove && parts < maxParts; serving /= 2 {
		parts *= 2
	}
	return parts
}

// raise takes a larger number of pools, tells the other members and hands over the endpoints that belong
// to other pools now.
func (p *Pools) raise(at place, parts int) {
	if parts <= p.partsAt(at) || parts > maxParts {
		return
	}
	p.parts.Do(at, func(all map[place]int) { all[at] = max(all[at], parts) })
	event.PoolsSplit.Log(p.log, event.Text(event.Service, at.service), event.Text(event.DataCentre, at.dataCentre), event.Count(event.Parts, parts))
	p.publishParts()
	for _, id := range p.ownedPools() {
		if placeOf(id) == at {
			p.redistribute(id)
		}
	}
}

func (p *Pools) publishParts() {
	var all []division
	p.parts.Each(func(parts map[place]int) {
		for at, n := range parts {
			all = append(all, division{at.service, at.dataCentre, n})
		}
	})
	slices.SortFunc(all, func(a, b division) int {
		return strings.Compare(string(a.Service)+" "+string(a.DataCentre), string(b.Service)+" "+string(b.DataCentre))
	})
	if value, err := json.Marshal(all); err == nil {
		p.gossip.Publish(topicParts, value)
	}
}

// hearParts takes the numbers of pools that another member told.
func (p *Pools) hearParts(from model.NodeID, value []byte) {
	var all []division
	if err := json.Unmarshal(value, &all); err != nil {
		event.PartsUnreadable.Log(p.log, event.Text(event.Member, from), event.Err(err))
		return
	}
	for _, d := range all {
		go p.raise(place{d.Service, d.DataCentre}, d.Parts) // Gossip must not wait for the pools.
	}
}

// redistribute hands over the leased endpoints of a pool that belong to other pools by now. What runs on
// them ends here; nothing new is started.
func (p *Pools) redistribute(id model.PoolID) {
	leaving := make(map[model.PoolID][]model.Endpoint)
	var gone []model.EndpointID
	var all []model.Endpoint
	p.withPool(id, func(o *pool) { all = o.machine.Handover() })
	for _, e := range all {
		if next := p.poolOf(e); e.Leased && next != id {
			leaving[next] = append(leaving[next], e)
			gone = append(gone, e.ID)
		}
	}
	if len(gone) == 0 {
		return
	}
	p.step(id, poolstate.Departed{Endpoints: gone})
	for next, endpoints := range leaving {
		message := handover{Pool: next, Endpoints: endpoints}
		owner := p.ownerOf(next)
		if owner.ID == p.membership.Self().ID {
			p.takeOver(message)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(p.life, announceInterval)
			defer cancel()
			p.sendHandover(ctx, owner.ID, message)
		}()
	}
}

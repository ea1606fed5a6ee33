package endpoints

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
)

// In a large group a member sends its updates to one member of each data centre, which tells those of its own. Updates that come from
// several members at about the same time travel on in one message, so that the messages of a burst do not grow with the number of members
// that report times that of those that are told.

const (
	largeGroup     = 64 // Number of members from which updates are relayed.
	relaysOfCentre = 4  // Members of a data centre among which the others choose the one that relays.
	// relayPause is the time in which a large group's updates are collected for one message: twice that and the calls are well below the
	// time after which a caller sends its job again.
	relayPause   = 100 * time.Millisecond
	relayTimeout = relayPause + 2*updateTimeout // Timeout of a message with updates to be relayed.
)

// relayedUpdates are the updates that are relayed next, and a channel that is closed when that has been tried.
type relayedUpdates struct {
	updates taskUpdates
	tried   chan struct{}
}

// isLarge reports whether updates are relayed in the group.
func (v *viewIndex) isLarge() bool { return len(v.alive) >= largeGroup }

// updatePause returns the time in which updates are collected for one message.
func (p *Pools) updatePause() time.Duration {
	if p.currentView().isLarge() {
		return relayPause
	}
	return smallUpdatePause
}

// updateReceiver returns the member that is to get the updates for a target at the given attempt, if any is alive.
func (p *Pools) updateReceiver(target updateTarget, attempt int) (to model.NodeID, alive bool) {
	if !target.relay {
		_, alive = p.member(target.member)
		return target.member, alive
	}
	relays := byHash(p.currentView().membersOf(target.centre), []byte("losses|"))
	relays = relays[:min(len(relays), relaysOfCentre)]
	self := p.membership.Self().ID
	relays = slices.DeleteFunc(relays, func(o poolstate.Origin) bool { return o.Node == self })
	if len(relays) == 0 {
		return "", false
	}
	first := int(rendezvousHash([]byte("relay|"), self) % relaysOfCentre)
	return relays[(first+attempt)%len(relays)].Node, true
}

// byHash returns members ordered by their rendezvous hashes for a key, the highest first.
func byHash(members []poolstate.Origin, key []byte) []poolstate.Origin {
	return slices.SortedFunc(slices.Values(members), func(a, b poolstate.Origin) int {
		return cmp.Or(cmp.Compare(rendezvousHash(key, b.Node), rendezvousHash(key, a.Node)), cmp.Compare(a.Node, b.Node))
	})
}

// relayUpdates sends updates to the other members of this one's data centre, together with those that are relayed at about the same
// time. It returns when each of them has been tried once.
func (p *Pools) relayUpdates(ctx context.Context, updates taskUpdates) {
	own := p.membership.Self().DataCentre
	var tried chan struct{}
	p.relayed.Do(own, func(all map[model.DataCentre]*relayedUpdates) {
		next := all[own]
		if next == nil {
			next = &relayedUpdates{tried: make(chan struct{})}
			all[own] = next
			time.AfterFunc(relayPause, func() { p.flushRelayed(own) })
		}
		next.updates = next.updates.plus(updates)
		tried = next.tried
	})
	select {
	case <-tried:
	case <-ctx.Done():
	case <-p.baseCtx.Done():
	}
}

// flushRelayed sends the updates that were collected to the other members of a data centre. Those that do not reply are tried again
// without holding up the senders of the updates.
func (p *Pools) flushRelayed(centre model.DataCentre) {
	var next *relayedUpdates
	p.relayed.Do(centre, func(all map[model.DataCentre]*relayedUpdates) {
		next = all[centre]
		delete(all, centre)
	})
	defer close(next.tried)
	var calls sync.WaitGroup
	for _, node := range p.currentView().membersOf(centre) {
		if node.Node == p.membership.Self().ID {
			continue
		}
		calls.Go(func() {
			reached := true
			for _, updates := range next.updates.parts() {
				reached = reached && p.tryUpdates(p.baseCtx, node.Node, updateMessage{taskUpdates: updates})
				if !reached {
					go p.sendUpdates(updateTarget{member: node.Node}, updates)
				}
			}
		})
	}
	calls.Wait()
}

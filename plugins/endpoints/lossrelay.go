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

// In a large group a member sends its losses to one member of each data centre, which tells those of its own. Losses that come from
// several members at about the same time travel on in one message, so that the messages of a burst do not grow with the number of members
// that report times that of those that are told.

const (
	largeGroup     = 64 // Number of members from which losses are relayed.
	relaysOfCentre = 4  // Members of a data centre among which the others choose the one that relays.
	// relayPause is the time in which a large group's losses are collected for one message: twice that and the calls are well below the
	// time after which a caller sends its job again.
	relayPause   = 100 * time.Millisecond
	relayTimeout = relayPause + 2*lossTimeout // Timeout of a message with losses to be relayed.
)

// relayedLosses are the losses that are relayed next, and a channel that is closed when that has been tried.
type relayedLosses struct {
	losses []wireTaskLoss
	tried  chan struct{}
}

// isLarge reports whether losses are relayed in the group.
func (v *viewIndex) isLarge() bool { return len(v.alive) >= largeGroup }

// lossPause returns the time in which losses are collected for one message.
func (p *Pools) lossPause() time.Duration {
	if p.currentView().isLarge() {
		return relayPause
	}
	return smallLossPause
}

// lossReceiver returns the member that is to get the losses for a target at the given attempt, if any is alive.
func (p *Pools) lossReceiver(target lossTarget, attempt int) (to model.NodeID, alive bool) {
	if !target.relay {
		_, alive = p.member(target.member)
		return target.member, alive
	}
	relays := byWeight(p.currentView().membersOf(target.centre), []byte("losses|"))
	relays = relays[:min(len(relays), relaysOfCentre)]
	self := p.membership.Self().ID
	relays = slices.DeleteFunc(relays, func(o poolstate.Origin) bool { return o.Node == self })
	if len(relays) == 0 {
		return "", false
	}
	first := int(weight([]byte("relay|"), self) % relaysOfCentre)
	return relays[(first+attempt)%len(relays)].Node, true
}

// byWeight returns members ordered by their weights for a key, the highest first.
func byWeight(members []poolstate.Origin, key []byte) []poolstate.Origin {
	return slices.SortedFunc(slices.Values(members), func(a, b poolstate.Origin) int {
		return cmp.Or(cmp.Compare(weight(key, b.Node), weight(key, a.Node)), cmp.Compare(a.Node, b.Node))
	})
}

// relayLosses tells the other members of this one's data centre of losses, together with those that are relayed at about the same time.
// It returns when each of them has been tried once.
func (p *Pools) relayLosses(ctx context.Context, losses []wireTaskLoss) {
	own := p.membership.Self().DataCentre
	var tried chan struct{}
	p.relayed.Do(own, func(all map[model.DataCentre]*relayedLosses) {
		next := all[own]
		if next == nil {
			next = &relayedLosses{tried: make(chan struct{})}
			all[own] = next
			time.AfterFunc(relayPause, func() { p.flushRelayed(own) })
		}
		next.losses = append(next.losses, losses...)
		tried = next.tried
	})
	select {
	case <-tried:
	case <-ctx.Done():
	case <-p.baseCtx.Done():
	}
}

// flushRelayed sends the losses that were collected to the other members of a data centre. Those that do not reply are tried again
// without holding up the senders of the losses.
func (p *Pools) flushRelayed(centre model.DataCentre) {
	var next *relayedLosses
	p.relayed.Do(centre, func(all map[model.DataCentre]*relayedLosses) {
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
			for losses := range slices.Chunk(next.losses, maxPendingLosses) {
				reached = reached && p.tryLosses(p.baseCtx, node.Node, lossMessage{Losses: losses})
				if !reached {
					go p.sendLosses(lossTarget{member: node.Node}, losses)
				}
			}
		})
	}
	calls.Wait()
}

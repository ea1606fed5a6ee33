package leases

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/leases/lease"
)

// Methods between members.
const (
	methodClaim = "leases/claim"
	methodEnded = "leases/ended"
)

// claimWait is how long a member may take to say that it waits for a run.
const claimWait = 150 * time.Millisecond

// claim asks which of the runs a member waits for.
type claim struct {
	Endpoint model.EndpointID `json:"endpoint"`
	Runs     []wireRun        `json:"runs"`
}

type claimReply struct {
	Runs []wireRun `json:"runs,omitempty"`
}

// ends are ends of runs that the sender did not start.
type ends struct {
	Endpoint model.EndpointID `json:"endpoint"`
	Ends     []wireEnd        `json:"ends"`
}

type wireRun struct {
	Key     string `json:"key"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

type wireEnd struct {
	Run wireRun        `json:"run"`
	How port.TaskState `json:"how"`
}

type empty struct{}

func (l *Leases) handlePeers() {
	port.Handle(l.peers, methodClaim, l.serveClaim)
	port.Handle(l.peers, methodEnded, l.serveEnded)
}

func (l *Leases) serveClaim(_ context.Context, _ model.NodeID, c claim) (reply claimReply) {
	for _, run := range c.Runs {
		if l.waits(c.Endpoint, port.TaskRun(run)) {
			reply.Runs = append(reply.Runs, run)
		}
	}
	return reply
}

func (l *Leases) serveEnded(_ context.Context, _ model.NodeID, e ends) empty {
	for _, end := range e.Ends {
		run := port.TaskRun(end.Run)
		if l.waits(e.Endpoint, run) {
			l.step(port.Lessor{ID: e.Endpoint}, lease.Told{End: port.RunEnd{Run: run, How: end.How}})
		}
	}
	return empty{}
}

// others returns the other live members.
func (l *Leases) others() (others []model.NodeID) {
	self := l.membership.Self().ID
	for _, n := range l.membership.Alive() {
		if n.ID != self {
			others = append(others, n.ID)
		}
	}
	return others
}

// ask finds out which runs at the endpoint live members wait for.
func (l *Leases) ask(at port.Lessor, runs []port.TaskRun) {
	ctx, cancel := context.WithTimeout(l.life, claimWait)
	defer cancel()
	request := claim{Endpoint: at.ID}
	for _, run := range runs {
		request.Runs = append(request.Runs, wireRun(run))
	}
	others := l.others()
	replies := make(chan claimReply, len(others))
	for _, node := range others {
		go func() {
			var reply claimReply
			l.peers.Call(ctx, node, methodClaim, request, &reply) // No reply claims nothing.
			replies <- reply
		}()
	}
	claimed := lease.Claimed{Asked: runs}
	for range others {
		for _, run := range (<-replies).Runs {
			claimed.Claimed = append(claimed.Claimed, port.TaskRun(run))
		}
	}
	event.RunsAsked.Log(l.log, event.Text(event.Endpoint, at.ID), event.Count(event.Runs, len(runs)), event.Count(event.Claimed, len(claimed.Claimed)))
	l.step(at, claimed)
}

// passOn tells the other members of ends whose runs one of them may wait for.
func (l *Leases) passOn(endpoint model.EndpointID, all []port.RunEnd) {
	message := ends{Endpoint: endpoint}
	for _, end := range all {
		message.Ends = append(message.Ends, wireEnd{wireRun(end.Run), end.How})
	}
	for _, node := range l.others() {
		go func() {
			ctx, cancel := context.WithTimeout(l.life, claimWait)
			defer cancel()
			var ignored empty
			if l.peers.Call(ctx, node, methodEnded, message, &ignored) != port.Delivered {
				event.EndsNotPassedOn.Log(l.log, event.Text(event.Endpoint, endpoint), event.Text(event.Member, node), event.Count(event.Ends, len(message.Ends)))
			}
		}()
	}
}

// forget drops the state of endpoints that have had no run for some time.
func (l *Leases) forget() {
	ticker := time.NewTicker(forgetAfter)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.life.Done():
			return
		}
		l.sessions.Each(func(sessions map[model.EndpointID]*session) {
			for id, s := range sessions {
				if s.machine.Idle() && time.Since(s.used) > forgetAfter {
					delete(sessions, id)
				}
			}
		})
	}
}

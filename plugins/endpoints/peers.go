package endpoints

import (
	"context"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
)

// Methods between members.
const (
	methodRun      = "pools/run"
	methodResume   = "pools/resume"
	methodCancel   = "pools/cancel"
	methodAnnounce = "pools/announce"
	methodLoads    = "pools/loads"
)

type empty struct{}

type announcement struct {
	Endpoint model.Endpoint `json:"endpoint"`
}

func (p *Pools) handlePeers() {
	port.Handle(p.peers, methodRun, p.serveRun)
	port.Handle(p.peers, methodResume, p.serveResume)
	port.Handle(p.peers, methodCancel, p.serveCancel)
	port.Handle(p.peers, methodAnnounce, p.serveAnnounce)
	port.Handle(p.peers, methodLoads, p.serveLoads)
}

func (p *Pools) serveAnnounce(_ context.Context, _ model.NodeID, a announcement) empty {
	p.step(p.poolOf(a.Endpoint), poolstate.Announced{Endpoint: a.Endpoint})
	return empty{}
}

package endpoints

import "redwingpulley/kernel/port"

// Methods between members.
const (
	methodRun      = "pools/run"
	methodResume   = "pools/resume"
	methodCancel   = "pools/cancel"
	methodAnnounce = "pools/announce"
	methodLoads    = "pools/loads"
	methodHandover = "pools/handover"
)

type empty struct{}

func (p *Pools) handlePeers() {
	port.Handle(p.peers, methodRun, p.serveRun)
	port.Handle(p.peers, methodResume, p.serveResume)
	port.Handle(p.peers, methodCancel, p.serveCancel)
	port.Handle(p.peers, methodReach, p.serveReach)
	port.Handle(p.peers, methodAnnounce, p.serveAnnounce)
	port.Handle(p.peers, methodLoads, p.serveLoads)
	port.Handle(p.peers, methodHandover, p.serveHandover)
}

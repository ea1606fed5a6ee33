package endpoints

import "redwingpulley/kernel/port"

// Methods of the requests between members; methodReach is declared in reach.go.
const (
	methodRun      = "pools/run"
	methodResume   = "pools/resume"
	methodCancel   = "pools/cancel"
	methodAnnounce = "pools/announce"
	methodLoads    = "pools/loads"
	methodHandover = "pools/handover"
	methodUpdates  = "pools/losses" // Members of earlier versions send losses alone.
)

// empty is the body of requests and replies without content.
type empty struct{}

// registerHandlers registers the handlers of the requests from other members.
func (p *Pools) registerHandlers() {
	port.Handle(p.peers, methodRun, p.handleRun)
	port.Handle(p.peers, methodResume, p.handleResume)
	port.Handle(p.peers, methodCancel, p.handleCancel)
	port.Handle(p.peers, methodReach, p.handleReach)
	port.Handle(p.peers, methodAnnounce, p.handleAnnounce)
	port.Handle(p.peers, methodLoads, p.handleLoads)
	port.Handle(p.peers, methodHandover, p.handleHandover)
	port.Handle(p.peers, methodUpdates, p.handleUpdates)
}

package endpoints

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Methods between members.
const (
	methodRun      = "pools/run"
	methodResume   = "pools/resume"
	methodCancel   = "pools/cancel"
	methodAnnounce = "pools/announce"
	methodLoads    = "pools/loads"
	methodHandover = "pools/handover"
)

const reportInterval = 250 * time.Millisecond // Between reports of the owned pools' loads.

type empty struct{}

func (p *Pools) handlePeers() {
	port.Handle(p.peers, methodRun, p.serveRun)
	port.Handle(p.peers, methodResume, p.serveResume)
	port.Handle(p.peers, methodCancel, p.serveCancel)
	port.Handle(p.peers, methodAnnounce, p.serveAnnounce)
	port.Handle(p.peers, methodLoads, p.serveLoads)
	port.Handle(p.peers, methodHandover, p.serveHandover)
}

// learnLoad keeps the newest load of a pool that another member owns.
func (p *Pools) learnLoad(load model.PoolLoad) {
	p.loads.Do(load.Pool, func(known map[model.PoolID]model.PoolLoad) {
		old, ok := known[load.Pool]
		if !ok || old.Owner != load.Owner || old.Version < load.Version {
			known[load.Pool] = load
		}
	})
}

// loadReport tells the loads of the pools that the sender owns.
type loadReport struct {
	Loads []model.PoolLoad `json:"loads"`
}

func (p *Pools) serveLoads(_ context.Context, _ model.NodeID, r loadReport) empty {
	for _, load := range r.Loads {
		p.learnLoad(load)
	}
	return empty{}
}

// reportLoads tells the other members the loads of owned pools at an interval.
func (p *Pools) reportLoads() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.sendLoads()
		case <-p.life.Done():
			return
		}
	}
}

func (p *Pools) sendLoads() {
	report := loadReport{Loads: p.ownedLoads()}
	if len(report.Loads) == 0 {
		return
	}
	for _, node := range p.membership.Alive() {
		if node.ID != p.membership.Self().ID {
			go p.sendReport(node.ID, report)
		}
	}
}

func (p *Pools) sendReport(to model.NodeID, report loadReport) {
	ctx, cancel := context.WithTimeout(p.life, reportInterval)
	defer cancel()
	var ignored empty
	p.peers.Call(ctx, to, methodLoads, report, &ignored)
}

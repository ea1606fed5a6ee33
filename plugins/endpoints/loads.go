package endpoints

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/endpoints/loadview"
	"redwingpulley/plugins/endpoints/transit"
)

const (
	topicLoads    = "loads" // Gossip topic of loadReport.
	reportTimeout = 250 * time.Millisecond
	publishPause  = 50 * time.Millisecond // Least time between two decisions on what to publish.
)

// loadReport is a message with the loads of the pools that the sender owns.
type loadReport struct {
	Loads []wireLoad    `json:"loads"`
	Clock *transit.Time `json:"clock,omitempty"` // Of the sender; not set in gossip, which comes too late.
}

// wireLoad is the encoding of a load. Its names are short, since it travels by gossip too.
type wireLoad struct {
	Service    model.ServiceID  `json:"s"`
	Centre     model.DataCentre `json:"d"`
	Part       int              `json:"p,omitempty"`
	Owner      model.NodeID     `json:"o"`
	Version    uint64           `json:"v"`
	Endpoints  int              `json:"e,omitempty"`
	Slots      int              `json:"n"`
	Free       int              `json:"f,omitempty"`
	FreeFast   int              `json:"x,omitempty"`
	Queued     int              `json:"q,omitempty"`
	QueuedMS   int64            `json:"w,omitempty"`
	MeanRunMS  int64            `json:"r,omitempty"`
	MilliCores int              `json:"c,omitempty"`
	MemoryMB   int              `json:"m,omitempty"`
	Accel      int              `json:"a,omitempty"`
}

func encodeLoads(loads []model.PoolLoad) loadReport {
	var r loadReport
	for _, l := range loads {
		r.Loads = append(r.Loads, wireLoad{
			Service: l.Pool.Service, Centre: l.Pool.DataCentre, Part: l.Pool.Part, Owner: l.Owner, Version: l.Version,
			Endpoints: l.Endpoints, Slots: l.Slots, Free: l.Free, FreeFast: l.FreeFast, Queued: l.Queued,
			QueuedMS: l.QueuedRun.Milliseconds(), MeanRunMS: l.MeanRun.Milliseconds(),
			MilliCores: l.Largest.MilliCores, MemoryMB: l.Largest.MemoryMB, Accel: l.Largest.Accelerators,
		})
	}
	return r
}

func (w wireLoad) decode() model.PoolLoad {
	return model.PoolLoad{
		Pool:  model.PoolID{Service: w.Service, DataCentre: w.Centre, Part: w.Part},
		Owner: w.Owner, Version: w.Version, Endpoints: w.Endpoints, Slots: w.Slots, Free: w.Free, FreeFast: w.FreeFast, Queued: w.Queued,
		QueuedRun: time.Duration(w.QueuedMS) * time.Millisecond,
		MeanRun:   time.Duration(w.MeanRunMS) * time.Millisecond,
		Largest:   model.Needs{MilliCores: w.MilliCores, MemoryMB: w.MemoryMB, Accelerators: w.Accel},
	}
}

const (
	maxReportedSlots = 1 << 24        // Bounds the slots and queued tasks in a load.
	maxReportedTime  = 24 * time.Hour // Bounds the times in a load.
)

// valid reports whether a correct member could have reported the load.
func (w wireLoad) valid() bool {
	load := w.decode()
	return w.Service != "" && len(w.Service) <= model.MaxName && len(w.Centre) <= model.MaxName && len(w.Owner) <= model.MaxName &&
		w.Part >= 0 && w.Endpoints >= 0 && w.Endpoints <= maxReportedSlots && w.Slots >= 0 && w.Slots <= maxReportedSlots && w.Free >= -maxReportedSlots && w.Free <= w.Slots &&
		w.FreeFast >= 0 && w.FreeFast <= w.Slots &&
		w.Queued >= 0 && w.Queued <= maxReportedSlots && w.QueuedMS >= 0 && w.QueuedMS <= maxReportedTime.Milliseconds() &&
		w.MeanRunMS >= 0 && w.MeanRunMS <= maxReportedTime.Milliseconds() && load.Largest.Check() == nil
}

// updateReported updates the estimated loads of pools by those that another member reported.
func (p *Pools) updateReported(r loadReport) {
	for _, w := range r.Loads {
		if !w.valid() {
			continue
		}
		load := w.decode()
		p.updateLoad(load)
		if p.owns(load.Pool) { // Others have taken the report for that of the owner.
			p.publishAgain()
		}
	}
}

// updateLoad updates the estimated load of a pool by one that its owner reported.
func (p *Pools) updateLoad(load model.PoolLoad) {
	now := time.Now()
	p.withEstimate(load.Pool, func(e *loadview.Estimate) { e.Update(now, load) })
}

// countSent adds tasks sent to another owner's pool to its estimated load, until a reported load includes
// them.
func (p *Pools) countSent(pool model.PoolID, tasks int) {
	now := time.Now()
	p.withEstimate(pool, func(e *loadview.Estimate) { e.AddSent(now, tasks) })
}

// withEstimate calls f with the estimated load of a pool under its shard's lock.
func (p *Pools) withEstimate(pool model.PoolID, f func(*loadview.Estimate)) {
	p.loads.Do(pool, func(known map[model.PoolID]*loadview.Estimate) {
		e, ok := known[pool]
		if !ok {
			e = &loadview.Estimate{}
			known[pool] = e
		}
		f(e)
	})
}

// reportedLoads returns the estimated loads of the service's pools, by the reports of other owners.
func (p *Pools) reportedLoads(service model.ServiceID) (loads []model.PoolLoad) {
	now := time.Now()
	p.loads.Each(func(known map[model.PoolID]*loadview.Estimate) {
		for id, e := range known {
			if load, ok := e.Load(now); ok && id.Service == service {
				loads = append(loads, load)
			}
		}
	})
	return loads
}

// handleLoads handles a load report that was sent to this member.
func (p *Pools) handleLoads(_ context.Context, from model.NodeID, r loadReport) empty {
	p.recordClock(from, r.Clock)
	p.updateReported(r)
	return empty{}
}

// handleGossipedLoads handles a load report that was published by gossip.
func (p *Pools) handleGossipedLoads(_ model.NodeID, value []byte) {
	var r loadReport
	if json.Unmarshal(value, &r) != nil {
		return // The sender may run another version of this program.
	}
	p.updateReported(r)
}

// recordSender records that a member has sent a batch to one of the owned pools.
func (p *Pools) recordSender(node model.NodeID) {
	now := time.Now()
	p.senders.Do(node, func(senders map[model.NodeID]time.Time) { senders[node] = now })
}

// otherMembers returns the other members. Those whose newest batch is the oldest come first: replies have
// brought them no load for the longest time.
func (p *Pools) otherMembers() (all []loadview.Member) {
	for _, node := range p.membership.Alive() {
		if node.ID != p.membership.Self().ID {
			newest, _ := p.senders.Get(node.ID)
			all = append(all, loadview.Member{Node: node.ID, NewestBatch: newest})
		}
	}
	slices.SortFunc(all, func(a, b loadview.Member) int {
		return cmp.Or(a.NewestBatch.Compare(b.NewestBatch), strings.Compare(string(a.Node), string(b.Node)))
	})
	return all
}

// signalIfLoadChanged signals publishLoads when the pool's load has changed significantly since the last
// signal. It is called under the lock of the pool's shard.
func (p *Pools) signalIfLoadChanged(o *pool) {
	load := o.machine.Load()
	if !loadview.SignificantChange(o.reportedLoad, load) {
		return
	}
	o.reportedLoad = load
	p.signalLoadChange()
}

// signalLoadChange makes publishLoads look at the loads. It does not block.
func (p *Pools) signalLoadChange() {
	select {
	case p.loadChanged <- struct{}{}:
	default: // An earlier signal is still pending.
	}
}

// publishAgain makes publishLoads publish the loads although they may be those that it has published last: another member has got
// one in between that said otherwise.
func (p *Pools) publishAgain() {
	p.contradicted.Store(true)
	p.signalLoadChange()
}

// publishLoads publishes the loads of the owned pools to the other members when they change.
func (p *Pools) publishLoads() {
	reporter := loadview.NewReporter()
	for {
		loads := p.ownedLoads()
		if p.contradicted.Swap(false) {
			reporter.Forget()
		}
		publication := reporter.Plan(time.Now(), loads, p.otherMembers)
		p.publish(publication, encodeLoads(loads))
		if !p.waitForLoadChange(publication.Next) {
			return
		}
	}
}

// waitForLoadChange waits for a signal, at most for the given time, and then for publishPause. It reports
// whether the plug-in still runs.
func (p *Pools) waitForLoadChange(next time.Duration) bool {
	timer := time.NewTimer(next)
	defer timer.Stop()
	select {
	case <-p.loadChanged:
	case <-timer.C:
	case <-p.baseCtx.Done():
		return false
	}
	return wait.For(p.baseCtx, publishPause)
}

// publish gossips the report and sends it to members, as the publication says.
func (p *Pools) publish(publication loadview.Publication, report loadReport) {
	if publication.Gossip {
		if value, err := json.Marshal(report); err == nil {
			p.gossip.Publish(topicLoads, value)
		}
	}
	clock := p.clock()
	report.Clock = &clock
	for _, node := range publication.To {
		go p.sendReport(node, report)
	}
}

// sendReport sends the report to a member, without a second attempt.
func (p *Pools) sendReport(to model.NodeID, report loadReport) {
	ctx, cancel := context.WithTimeout(p.baseCtx, reportTimeout)
	defer cancel()
	var ignored empty
	p.peers.Call(ctx, to, methodLoads, report, &ignored)
}

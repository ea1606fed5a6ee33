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
)

const (
	topicLoads    = "loads"
	reportTimeout = 250 * time.Millisecond
	reportPause   = 50 * time.Millisecond // Least time between two decisions on what to tell.
)

// loadReport tells the loads of the pools that the sender owns.
type loadReport struct {
	Loads []wireLoad `json:"loads"`
}

// wireLoad is a load with short names, since it travels on the members' own messages.
type wireLoad struct {
	Service    model.ServiceID  `json:"s"`
	Centre     model.DataCentre `json:"d"`
	Part       int              `json:"p,omitempty"`
	Owner      model.NodeID     `json:"o"`
	Version    uint64           `json:"v"`
	Slots      int              `json:"n"`
	Free       int              `json:"f,omitempty"`
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
			Slots: l.Slots, Free: l.Free, Queued: l.Queued,
			QueuedMS: l.QueuedRun.Milliseconds(), MeanRunMS: l.MeanRun.Milliseconds(),
			MilliCores: l.Largest.MilliCores, MemoryMB: l.Largest.MemoryMB, Accel: l.Largest.Accelerators,
		})
	}
	return r
}

func (w wireLoad) decode() model.PoolLoad {
	return model.PoolLoad{
		Pool:  model.PoolID{Service: w.Service, DataCentre: w.Centre, Part: w.Part},
		Owner: w.Owner, Version: w.Version, Slots: w.Slots, Free: w.Free, Queued: w.Queued,
		QueuedRun: time.Duration(w.QueuedMS) * time.Millisecond,
		MeanRun:   time.Duration(w.MeanRunMS) * time.Millisecond,
		Largest:   model.Needs{MilliCores: w.MilliCores, MemoryMB: w.MemoryMB, Accelerators: w.Accel},
	}
}

// learnLoad takes a load that the owner of a pool told.
func (p *Pools) learnLoad(load model.PoolLoad) {
	now := time.Now()
	p.withKnown(load.Pool, func(k *loadview.Estimate) { k.Update(now, load) })
}

// noteSent counts in tasks that go to another owner's pool until its load shows them.
func (p *Pools) noteSent(pool model.PoolID, tasks int) {
	now := time.Now()
	p.withKnown(pool, func(k *loadview.Estimate) { k.AddSent(now, tasks) })
}

func (p *Pools) withKnown(pool model.PoolID, f func(*loadview.Estimate)) {
	p.loads.Do(pool, func(known map[model.PoolID]*loadview.Estimate) {
		k, ok := known[pool]
		if !ok {
			k = &loadview.Estimate{}
			known[pool] = k
		}
		f(k)
	})
}

// toldLoads returns the loads of the service's pools as other owners told them.
func (p *Pools) toldLoads(service model.ServiceID) (loads []model.PoolLoad) {
	now := time.Now()
	p.loads.Each(func(known map[model.PoolID]*loadview.Estimate) {
		for id, k := range known {
			if load, ok := k.Load(now); ok && id.Service == service {
				loads = append(loads, load)
			}
		}
	})
	return loads
}

func (p *Pools) serveLoads(_ context.Context, _ model.NodeID, r loadReport) empty {
	for _, load := range r.Loads {
		p.learnLoad(load.decode())
	}
	return empty{}
}

// hearLoads takes the loads that came on a message between members.
func (p *Pools) hearLoads(_ model.NodeID, value []byte) {
	var r loadReport
	if json.Unmarshal(value, &r) != nil {
		return // Of another version of this program.
	}
	for _, load := range r.Loads {
		p.learnLoad(load.decode())
	}
}

// noteSender remembers who sends batches to the owned pools.
func (p *Pools) noteSender(node model.NodeID) {
	now := time.Now()
	p.senders.Do(node, func(senders map[model.NodeID]time.Time) { senders[node] = now })
}

// others returns the other members, those first that have been silent for the longest: they have had
// no load on a reply of late.
func (p *Pools) others() (all []loadview.Member) {
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

// noteLoad signals reportLoads when a pool's load differs by enough from what was told. It is
// called under the pool's lock.
func (p *Pools) noteLoad(o *pool) {
	load := o.machine.Load()
	if !loadview.SignificantChange(o.told, load) {
		return
	}
	o.told = load
	p.signalNews()
}

// signalNews has reportLoads look at the loads. It does not wait.
func (p *Pools) signalNews() {
	select {
	case p.news <- struct{}{}:
	default: // reportLoads has yet to take up an earlier one.
	}
}

// reportLoads tells other members of the owned pools' loads when they change.
func (p *Pools) reportLoads() {
	reporter := loadview.NewReporter()
	for {
		loads := p.ownedLoads()
		telling := reporter.Plan(time.Now(), loads, p.others())
		p.tell(telling, encodeLoads(loads))
		if !p.awaitNews(telling.Next) {
			return
		}
	}
}

// awaitNews waits for a change or for the given time, and reports whether the process still runs.
func (p *Pools) awaitNews(next time.Duration) bool {
	timer := time.NewTimer(next)
	defer timer.Stop()
	select {
	case <-p.news:
	case <-timer.C:
	case <-p.life.Done():
		return false
	}
	return wait.For(p.life, reportPause)
}

func (p *Pools) tell(telling loadview.Publication, report loadReport) {
	if telling.Gossip {
		if value, err := json.Marshal(report); err == nil {
			p.gossip.Publish(topicLoads, value)
		}
	}
	for _, node := range telling.To {
		go p.sendReport(node, report)
	}
}

func (p *Pools) sendReport(to model.NodeID, report loadReport) {
	ctx, cancel := context.WithTimeout(p.life, reportTimeout)
	defer cancel()
	var ignored empty
	p.peers.Call(ctx, to, methodLoads, report, &ignored)
}

// Package endpoints is the plug-in that owns pools of endpoints. Each pool is a poolstate.Machine in a
// shard; this package carries out the effects of the machines, and sends batches to the pools that other
// members own.
package endpoints

import (
	"context"
	"hash/maphash"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/shard"
	"redwingpulley/kernel/wait"
	"redwingpulley/plugins/endpoints/loadview"
	"redwingpulley/plugins/endpoints/poolstate"
)

// announceInterval is the time between two announcements of an endpoint.
const announceInterval = poolstate.DefaultEndpointLease / 3

// Settings are the settings of the plug-in.
type Settings struct {
	PoolsPerDataCentre int   `json:"pools_per_data_centre"` // Least number of pools per service and data centre; the same on every member.
	SplitAbove         int   `json:"split_above"`           // Number of serving endpoints above which a pool is split; 0 means never.
	LeaseMS            int64 `json:"lease_ms"`              // How long an endpoint gets work after an announcement.
}

// Check adds the faults of the settings to faults.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.PoolsPerDataCentre > 0, "pools_per_data_centre", "must be above 0")
	faults.Require(s.SplitAbove >= 0, "split_above", "must not be negative")
	faults.Require(s.LeaseMS > 0, "lease_ms", "must be above 0")
}

// Pools is the plug-in and implements port.Pools. Create it through the registry. The methods of port.Pools
// are safe for concurrent use once Start has been called.
type Pools struct {
	settings   Settings
	membership port.Membership
	liveness   port.Liveness
	profiles   port.Profiles
	peers      port.Peers
	tasks      port.Tasks
	decisions  port.Decisions
	recorder   port.Recorder
	policies   poolstate.Policies
	log        *slog.Logger

	pools    *shard.Map[model.PoolID, *pool]
	loads    *shard.Map[model.PoolID, *loadview.Estimate] // Estimated loads of pools that others own.
	sessions *shard.Map[incarnationKey, *session]         // Sessions with the owners to which this member sends batches.

	ownerCache   *shard.Map[poolGroup, groupOwners]
	formerOwners *shard.Map[model.PoolID, map[model.NodeID]time.Time] // Members that still have work in a pool, and until when.

	parts        *shard.Map[poolGroup, int]  // Number of pools, where it is above the setting.
	splitPending *shard.Map[poolGroup, bool] // Groups whose split is scheduled.

	stop    context.CancelFunc
	baseCtx context.Context // Ends when the plug-in stops.

	gossip      port.Gossip
	senders     *shard.Map[model.NodeID, time.Time] // When each member sent its newest batch.
	loadChanged chan struct{}                       // Signals publishLoads that a load has changed.

	unreachable *shard.Map[model.NodeID, bool] // Members that did not reply and have not been reached since.

	created  chan struct{}                       // Signals watchOrigins that there is a new pool.
	effects  sync.Pool                           // Holds *poolstate.Effects, so that later steps use the buffers again.
	origins  *shard.Map[incarnationKey, *origin] // Members that send batches to this one.
	turns    *shard.Map[taskRef, turn]           // Attempts that may be at work, by their task.
	draining atomic.Bool                         // New batches are refused; set by Drain.

	instruments instruments
}

// pool is a pool that this member owns, or owned: its state machine and what belongs to it outside the
// machine. It is used only under the lock of its shard.
type pool struct {
	created      poolstate.Created
	machine      *poolstate.Machine
	waiters      map[model.BatchID]*waiter
	timer        *time.Timer
	reportedLoad model.PoolLoad // Load at the last signal to publishLoads.
	handedOverTo incarnationKey // Receiver of the last handover since this member last owned the pool.
	movedAt      time.Time      // When that handover was prepared.

	inFlight map[attempt]*call // Attempts whose tasks occupy their endpoints.
	steps    uint64            // Number of steps so far.
}

// Provision reads the settings, looks up the ports that the plug-in needs and binds its own.
func (p *Pools) Provision(c *plugin.Context) error {
	p.settings = Settings{PoolsPerDataCentre: 1, LeaseMS: poolstate.DefaultEndpointLease.Milliseconds()}
	err := errors.Join(
		c.Settings(&p.settings),
		plugin.Need(c, &p.membership),
		plugin.Need(c, &p.liveness),
		plugin.Need(c, &p.profiles),
		plugin.Need(c, &p.peers),
		plugin.Need(c, &p.tasks),
		plugin.Need(c, &p.decisions),
		plugin.Need(c, &p.recorder),
		plugin.Need(c, &p.gossip),
	)
	if err != nil {
		return err
	}
	p.policies = poolstate.Policies{
		Placements: plugin.UseAll[port.Placement](c),
		Admissions: plugin.UseAll[port.Admission](c),
	}
	p.init(c.Log, c.Metrics)
	p.gossip.Subscribe(topicLoads, p.handleGossipedLoads)
	p.gossip.Subscribe(topicParts, p.handleGossipedParts)
	plugin.Bind[port.Pools](c, p)
	return nil
}

// init creates the state of the plug-in and registers its handlers and metrics.
func (p *Pools) init(log *slog.Logger, registry metrics.Registry) {
	p.log = log
	p.pools = shard.New[model.PoolID, *pool](shard.DefaultCount)
	p.loads = shard.New[model.PoolID, *loadview.Estimate](shard.DefaultCount)
	p.senders = shard.New[model.NodeID, time.Time](shard.DefaultCount)
	p.loadChanged = make(chan struct{}, 1)
	p.created = make(chan struct{}, 1)
	p.effects.New = func() any { return &poolstate.Effects{} }
	p.sessions = shard.New[incarnationKey, *session](shard.DefaultCount)
	p.origins = newOrigins()
	p.turns = shard.New[taskRef, turn](shard.DefaultCount)
	p.unreachable = shard.New[model.NodeID, bool](shard.DefaultCount)
	p.parts = shard.New[poolGroup, int](shard.DefaultCount)
	p.splitPending = shard.New[poolGroup, bool](shard.DefaultCount)
	p.ownerCache = shard.New[poolGroup, groupOwners](shard.DefaultCount)
	p.formerOwners = shard.New[model.PoolID, map[model.NodeID]time.Time](shard.DefaultCount)
	p.instruments = newInstruments(registry)
	p.registerGauges(registry)
	p.baseCtx, p.stop = context.WithCancel(context.Background())
	p.registerHandlers()
}

// Start starts the goroutines that publish loads and watch the membership.
func (p *Pools) Start() error {
	go p.publishLoads()
	go p.watchOrigins()
	go p.watchSessions()
	go p.watchOwnership()
	return nil
}

// Drain hands the pools over, refuses new batches and waits until the accepted ones have ended.
func (p *Pools) Drain(ctx context.Context) {
	p.leave(ctx)
	wait.For(ctx, moveGrace)
	p.draining.Store(true)
	var unfinished []*waiter
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for _, o := range pools {
			unfinished = slices.AppendSeq(unfinished, maps.Values(o.waiters))
		}
	})
	for _, w := range unfinished {
		select {
		case <-w.ended:
		case <-ctx.Done():
			return
		}
	}
}

// Stop ends the plug-in's goroutines and requests.
func (p *Pools) Stop() error {
	p.stop()
	return nil
}

// submit submits a batch to its pool, or refuses it. The waiter w is finished when the batch is refused
// or has ended.
func (p *Pools) submit(batch model.Batch, w *waiter) {
	profiles, _ := p.profiles.Current()
	profile, ok := profiles.For(batch.Pool.Service)
	if !ok {
		p.refuse(batch, w, model.ReasonNoProfile)
		return
	}
	if reason := p.refusalReason(batch.Pool); reason != "" {
		p.refuse(batch, w, reason)
		return
	}
	draining := false
	p.withPool(batch.Pool, func(o *pool) {
		if draining = p.draining.Load(); !draining {
			o.waiters[batch.ID] = w
		}
	})
	if draining {
		p.refuse(batch, w, model.ReasonDraining)
		return
	}
	p.step(batch.Pool, poolstate.Submitted{Batch: batch, Profile: profile})
}

// refuse ends a batch with a refusal before it reaches its pool.
func (p *Pools) refuse(batch model.Batch, w *waiter, reason model.Reason) {
	w.finish(model.RefusedBatch(batch.ID, reason))
	p.recordEnd(w)
}

// Loads returns the loads of the owned pools, and the estimated loads of those that other members own.
// The owners are those by the current membership view. Pools of unreachable owners are given no slots.
func (p *Pools) Loads(service model.ServiceID) []model.PoolLoad {
	loads := slices.DeleteFunc(p.ownedLoads(), func(l model.PoolLoad) bool { return l.Pool.Service != service })
	for _, load := range p.reportedLoads(service) {
		if !p.owns(load.Pool) {
			loads = append(loads, load)
		}
	}
	for i := range loads {
		loads[i].Owner = p.ownerOf(loads[i].Pool).ID
		if !p.reachable(loads[i].Owner) {
			loads[i].Slots, loads[i].Free = 0, 0
		}
	}
	slices.SortFunc(loads, func(a, b model.PoolLoad) int { return a.Pool.Compare(b.Pool) })
	return loads
}

// ownedLoads returns the loads of the pools that this member owns by the current membership view. It returns
// none while the view is stale.
func (p *Pools) ownedLoads() []model.PoolLoad {
	var loads []model.PoolLoad
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for _, o := range pools {
			loads = append(loads, o.machine.Load())
		}
	})
	return slices.DeleteFunc(loads, func(l model.PoolLoad) bool { return !p.owns(l.Pool) })
}

// Endpoints returns the endpoints of the pools that this member keeps, sorted by their IDs.
func (p *Pools) Endpoints() []port.EndpointStatus {
	var all []port.EndpointStatus
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for _, o := range pools {
			all = append(all, o.machine.Endpoints()...)
		}
	})
	slices.SortFunc(all, func(a, b port.EndpointStatus) int {
		return strings.Compare(string(a.Endpoint.ID), string(b.Endpoint.ID))
	})
	return all
}

// withPool calls f with the pool under its shard's lock. It creates the pool if there is none.
func (p *Pools) withPool(id model.PoolID, f func(*pool)) {
	p.pools.Do(id, func(pools map[model.PoolID]*pool) {
		o, ok := pools[id]
		if !ok {
			o = p.newPool(id)
			pools[id] = o
		}
		f(o)
	})
}

// newPool returns a new pool and signals it to watchOrigins.
func (p *Pools) newPool(id model.PoolID) *pool {
	seed := maphash.String(maphash.MakeSeed(), id.String())
	select {
	case p.created <- struct{}{}:
	default: // An earlier signal is still pending.
	}
	created := poolstate.Created{Pool: id, Owner: p.membership.Self().ID, Seed: seed}
	return &pool{
		created: created,
		machine: created.Machine(p.policies),
		waiters: make(map[model.BatchID]*waiter),

		inFlight: make(map[attempt]*call),
	}
}

// step applies an event to the pool's machine and then, outside the lock, carries out the effects.
func (p *Pools) step(id model.PoolID, event poolstate.Event) {
	fx := p.effects.Get().(*poolstate.Effects)
	defer p.recycle(fx)
	var ended []*waiter
	var now time.Time
	var created poolstate.Created
	var number uint64
	p.withPool(id, func(o *pool) {
		now = p.now()
		o.steps++
		created, number = o.created, o.steps
		o.machine.Step(now, event, fx)
		p.updateCalls(o, fx)
		p.signalIfLoadChanged(o)
		for _, result := range fx.Ended {
			if w, ok := o.waiters[result.ID]; ok {
				w.finish(result)
				ended = append(ended, w)
				delete(o.waiters, result.ID)
			}
		}
		p.armTimer(id, o, now)
	})
	if p.recorder.Active() {
		p.recordStep(created, number, now, event, fx)
	}
	for _, w := range ended {
		p.recordEnd(w)
	}
	p.execute(id, fx)
}

// armTimer sets the pool's timer to the time of the machine's next Elapsed event.
func (p *Pools) armTimer(id model.PoolID, o *pool, now time.Time) {
	at, ok := o.machine.NextTimer()
	if !ok {
		return
	}
	if o.timer == nil {
		o.timer = time.AfterFunc(at.Sub(now), func() { p.step(id, poolstate.Elapsed{}) })
		return
	}
	o.timer.Reset(at.Sub(now))
}

// recycle makes the buffers of effects that were carried out available to later steps.
func (p *Pools) recycle(fx *poolstate.Effects) {
	fx.Reset()
	p.effects.Put(fx)
}

// execute carries out the effects of a step, except for the batches that ended: step finishes these itself.
func (p *Pools) execute(id model.PoolID, fx *poolstate.Effects) {
	p.instruments.countStep(fx)
	p.logStep(id, fx)
	for _, r := range fx.Released {
		p.endTurn(id, refOf(r.Key, r.Task), attempt{r.Task, r.Attempt})
	}
	for _, s := range fx.Starts {
		go p.startTask(id, s)
	}
	for _, r := range fx.Revokes {
		go p.revokeTask(id, r)
	}
}

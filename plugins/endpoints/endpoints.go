// Package endpoints owns pools of endpoints. Each pool is a poolstate.Machine in a shard; this
// package carries out what the machines decide and reaches the pools that other members own.
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

const announceInterval = poolstate.EndpointLease / 3

// Settings are the plug-in's own.
type Settings struct {
	PoolsPerDataCentre int   `json:"pools_per_data_centre"` // The same on every member.
	SplitAbove         int   `json:"split_above"`           // Leased endpoints of a pool above which it is split; 0 is never.
	LeaseMS            int64 `json:"lease_ms"`              // For which an endpoint gets work after an announcement.
}

// Check tells the faults of the settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.PoolsPerDataCentre > 0, "pools_per_data_centre", "must be above 0")
	faults.Require(s.SplitAbove >= 0, "split_above", "must not be negative")
	faults.Require(s.LeaseMS > 0, "lease_ms", "must be above 0")
}

// Pools is the plug-in. Create it through the registry.
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

	pools *shard.Map[model.PoolID, *pool]
	loads *shard.Map[model.PoolID, *loadview.Estimate] // Of pools that others own.
	lines *shard.Map[originKey, *line]

	owners  *shard.Map[model.PoolID, chosen]
	formers *shard.Map[model.PoolID, map[model.NodeID]time.Time] // Who still has work, and until when.

	parts     *shard.Map[place, int]  // Of pools, where it is above the setting.
	splitting *shard.Map[place, bool] // Where a split is about to come.

	stop context.CancelFunc
	life context.Context

	gossip  port.Gossip
	senders *shard.Map[model.NodeID, time.Time] // When each member sent its newest batch.
	news    chan struct{}                       // Signals reportLoads that a load has changed.

	unreached *shard.Map[model.NodeID, bool] // Members that gave no reply of late.

	created  chan struct{} // Signals watchOwners that there is a new pool.
	effects  sync.Pool     // Of *poolstate.Effects: a step's buffers, used by the next ones.
	origins  *shard.Map[originKey, *origin]
	draining atomic.Bool

	meters meters
}

// pool is an owned pool: its decisions, and who waits for its batches.
type pool struct {
	created  poolstate.Created
	machine  *poolstate.Machine
	waiters  map[model.BatchID]*waiter
	timer    *time.Timer
	told     model.PoolLoad // As reportLoads was last signalled.
	handedTo originKey      // Who was told of the pool's endpoints since this member last owned it.
	movedAt  time.Time      // When that was.

	inFlight map[attempt]context.CancelFunc // Ends the wait for the answer of a start.
	steps    uint64                         // Taken so far.
}

// Provision binds the ports.
func (p *Pools) Provision(c *plugin.Context) error {
	p.settings = Settings{PoolsPerDataCentre: 1, LeaseMS: poolstate.EndpointLease.Milliseconds()}
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
	p.gossip.Subscribe(topicLoads, p.hearLoads)
	p.gossip.Subscribe(topicParts, p.hearParts)
	plugin.Bind[port.Pools](c, p)
	return nil
}

// init makes the state behind the bound ports.
func (p *Pools) init(log *slog.Logger, registry metrics.Registry) {
	p.log = log
	p.pools = shard.New[model.PoolID, *pool](shard.DefaultCount)
	p.loads = shard.New[model.PoolID, *loadview.Estimate](shard.DefaultCount)
	p.senders = shard.New[model.NodeID, time.Time](shard.DefaultCount)
	p.news = make(chan struct{}, 1)
	p.created = make(chan struct{}, 1)
	p.effects.New = func() any { return &poolstate.Effects{} }
	p.lines = shard.New[originKey, *line](shard.DefaultCount)
	p.origins = newOrigins()
	p.unreached = shard.New[model.NodeID, bool](shard.DefaultCount)
	p.parts = shard.New[place, int](shard.DefaultCount)
	p.splitting = shard.New[place, bool](shard.DefaultCount)
	p.owners = shard.New[model.PoolID, chosen](shard.DefaultCount)
	p.formers = shard.New[model.PoolID, map[model.NodeID]time.Time](shard.DefaultCount)
	p.meters = newMeters(registry)
	p.gaugePools(registry)
	p.life, p.stop = context.WithCancel(context.Background())
	p.handlePeers()
}

// Start begins to report loads and to watch the members.
func (p *Pools) Start() error {
	go p.reportLoads()
	go p.watchOwners()
	go p.watchMembers()
	go p.watchOwnership()
	return nil
}

// Drain hands the pools over, takes no new batch and waits for the end of those that it has.
func (p *Pools) Drain(ctx context.Context) {
	p.leave(ctx)
	wait.For(ctx, transitTime)
	p.draining.Store(true)
	var open []*waiter
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for _, o := range pools {
			open = slices.AppendSeq(open, maps.Values(o.waiters))
		}
	})
	for _, w := range open {
		select {
		case <-w.ended:
		case <-ctx.Done():
			return
		}
	}
}

// Stop ends the waits of this process.
func (p *Pools) Stop() error {
	p.stop()
	return nil
}

// submit hands a batch to its pool, which refuses it or ends it later.
func (p *Pools) submit(batch model.Batch, w *waiter) {
	profiles, _ := p.profiles.Current()
	profile, ok := profiles.For(batch.Pool.Service)
	if !ok {
		p.refuse(batch, w, model.ReasonNoProfile)
		return
	}
	if reason := p.unable(batch.Pool); reason != "" {
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

func (p *Pools) refuse(batch model.Batch, w *waiter, reason model.Reason) {
	w.finish(model.RefusedBatch(batch.ID, reason))
	p.noteEnded(w)
}

// Loads returns the loads of the owned pools and the newest that others told, each with the owner
// by the newest view of the members.
func (p *Pools) Loads(service model.ServiceID) []model.PoolLoad {
	loads := slices.DeleteFunc(p.ownedLoads(), func(l model.PoolLoad) bool { return l.Pool.Service != service })
	for _, load := range p.toldLoads(service) {
		if !p.owns(load.Pool) {
			loads = append(loads, load)
		}
	}
	for i := range loads {
		loads[i].Owner = p.ownerOf(loads[i].Pool).ID
		if !p.reached(loads[i].Owner) {
			loads[i].Slots, loads[i].Free = 0, 0
		}
	}
	slices.SortFunc(loads, func(a, b model.PoolLoad) int { return strings.Compare(a.Pool.String(), b.Pool.String()) })
	return loads
}

func (p *Pools) ownedLoads() []model.PoolLoad {
	var loads []model.PoolLoad
	p.pools.Each(func(pools map[model.PoolID]*pool) {
		for _, o := range pools {
			loads = append(loads, o.machine.Load())
		}
	})
	return slices.DeleteFunc(loads, func(l model.PoolLoad) bool { return !p.owns(l.Pool) })
}

// Endpoints returns the endpoints of the owned pools.
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

// withPool calls f with the pool under its shard's lock.
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

func (p *Pools) newPool(id model.PoolID) *pool {
	seed := maphash.String(maphash.MakeSeed(), id.String())
	select {
	case p.created <- struct{}{}:
	default: // watchOwners has yet to take up an earlier one.
	}
	created := poolstate.Created{Pool: id, Owner: p.membership.Self().ID, Seed: seed}
	return &pool{
		created: created,
		machine: created.Machine(p.policies),
		waiters: make(map[model.BatchID]*waiter),

		inFlight: make(map[attempt]context.CancelFunc),
	}
}

// step applies an event to the pool and then carries out its effects, outside the lock.
func (p *Pools) step(id model.PoolID, event poolstate.Event) {
	fx := p.effects.Get().(*poolstate.Effects)
	defer p.release(fx)
	var ended []*waiter
	var now time.Time
	var created poolstate.Created
	var number uint64
	p.withPool(id, func(o *pool) {
		now = p.now()
		o.steps++
		created, number = o.created, o.steps
		o.machine.Step(now, event, fx)
		p.noteLoad(o)
		for _, result := range fx.Ended {
			if w, ok := o.waiters[result.ID]; ok {
				w.finish(result)
				ended = append(ended, w)
				delete(o.waiters, result.ID)
			}
		}
		p.arm(id, o, now)
	})
	if p.recorder.Active() {
		p.recordStep(created, number, now, event, fx)
	}
	for _, w := range ended {
		p.noteEnded(w)
	}
	p.carryOut(id, fx)
}

// arm sets the pool's timer to the machine's next wake-up.
func (p *Pools) arm(id model.PoolID, o *pool, now time.Time) {
	at, ok := o.machine.Wake()
	if !ok {
		return
	}
	if o.timer == nil {
		o.timer = time.AfterFunc(at.Sub(now), func() { p.step(id, poolstate.Elapsed{}) })
		return
	}
	o.timer.Reset(at.Sub(now))
}

// release keeps the buffers of effects that were carried out for a later step.
func (p *Pools) release(fx *poolstate.Effects) {
	fx.Reset()
	p.effects.Put(fx)
}

func (p *Pools) carryOut(id model.PoolID, fx *poolstate.Effects) {
	p.meters.countStep(fx)
	p.tellOf(id, fx)
	for _, s := range fx.Starts {
		go p.start(id, s)
	}
	for _, r := range fx.Revokes {
		go p.revoke(id, r)
	}
}

// attempt is one start of a task.
type attempt struct {
	task   model.TaskID
	number int
}

func (p *Pools) start(id model.PoolID, s poolstate.Start) {
	if !p.liveness.Fresh() {
		// This member stood still. Others may have its work by now.
		reply := port.TaskReply{State: port.TaskNoRoom, Detail: "this member's view of the others is stale"}
		p.tellEnd(id, s, reply, 0)
		p.step(id, poolstate.Replied{Task: s.Task, Attempt: s.Attempt, Reply: reply})
		return
	}
	p.meters.starts.Inc(1)
	ctx, cancel := context.WithDeadline(p.life, s.Deadline)
	defer cancel()
	started := attempt{s.Task, s.Attempt}
	p.withPool(id, func(o *pool) { o.inFlight[started] = cancel })
	begun := time.Now()
	reply := p.tasks.Start(ctx, s.Address, port.TaskStart{
		ID: s.Task, Endpoint: s.Endpoint, Attempt: s.Attempt, Deadline: time.Until(s.Deadline).Milliseconds(),
		Payload: s.Payload, Key: s.Key, Index: s.Task.Index(),
	})
	p.tellEnd(id, s, reply, time.Since(begun))
	p.withPool(id, func(o *pool) { delete(o.inFlight, started) })
	p.step(id, poolstate.Replied{Task: s.Task, Attempt: s.Attempt, Reply: reply})
}

func (p *Pools) revoke(id model.PoolID, r poolstate.Revoke) {
	if !wait.For(p.life, r.After) {
		return
	}
	begun := time.Now()
	reply := p.tasks.Revoke(p.life, r.Address, port.TaskRevoke{
		ID: r.Task, Endpoint: r.Endpoint, Attempt: r.Attempt, Stop: r.Stop, Key: r.Key, Index: r.Task.Index(),
	})
	p.tellRevoked(id, r, reply, time.Since(begun))
	p.step(id, poolstate.RevokeReplied{Task: r.Task, Attempt: r.Attempt, Reply: reply})
	if reply.State != port.TaskRunning && reply.State != port.TaskUnknown {
		p.stopWaiting(id, attempt{r.Task, r.Attempt})
	}
}

// stopWaiting ends the wait for the answer of a start that a revoke has settled.
func (p *Pools) stopWaiting(id model.PoolID, settled attempt) {
	var cancel context.CancelFunc
	p.withPool(id, func(o *pool) { cancel = o.inFlight[settled] })
	if cancel != nil {
		cancel()
	}
}

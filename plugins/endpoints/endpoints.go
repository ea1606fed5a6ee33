// Package endpoints is the plug-in that owns pools of endpoints. Each pool is a poolstate.Machine in a
// shard; this package carries out the effects of the machines, and sends batches to the pools that other
// members own.
package endpoints

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
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
	"redwingpulley/plugins/endpoints/transit"
)

// announceInterval is the time between two announcements of an endpoint.
const announceInterval = poolstate.DefaultEndpointLease / 3

// Settings are the settings of the plug-in.
type Settings struct {
	PoolsPerDataCentre int   `json:"pools_per_data_centre"` // Least number of pools per service and data centre; the same on every member.
	SplitAbove         int   `json:"split_above"`           // Number of serving endpoints above which a pool is split; 0 means never.
	LeaseMS            int64 `json:"lease_ms"`              // How long an endpoint gets work after an announcement.
	LearnSpeeds        bool  `json:"learn_speeds"`          // Whether to place tasks by how fast the endpoints have been.
	WithdrawnMS        int64 `json:"withdrawn_ms"`          // How long the key of a job is remembered that its caller has cancelled.
	// CallersWeight is the part of an owner's weight that the jobs of its own callers take; it does not count for SplitAbove.
	CallersWeight float64 `json:"callers_weight"`
	// SeparateInterfering keeps tasks of teams that slow each other down on different endpoints, where there is room.
	SeparateInterfering bool `json:"separate_interfering"`
}

var defaultSettings = Settings{PoolsPerDataCentre: 1, LeaseMS: poolstate.DefaultEndpointLease.Milliseconds(), WithdrawnMS: 120_000}

// Check adds the faults of the settings to faults.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.PoolsPerDataCentre > 0, "pools_per_data_centre", "must be above 0")
	faults.Require(s.SplitAbove >= 0, "split_above", "must not be negative")
	faults.Require(s.CallersWeight >= 0, "callers_weight", "must not be negative")
	faults.Require(s.LeaseMS > 0, "lease_ms", "must be above 0")
	faults.Require(s.WithdrawnMS > 0 && s.WithdrawnMS <= maxRemaining.Milliseconds(), "withdrawn_ms", "must be 1 to "+strconv.FormatInt(maxRemaining.Milliseconds(), 10))
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

	view         atomic.Pointer[viewIndex] // Index of the newest view that was looked at; see currentView.
	ownerCache   *shard.Map[poolGroup, groupOwners]
	formerOwners *shard.Map[model.PoolID, map[model.NodeID]time.Time] // Members that still have work in a pool, and until when.
	pastHolders  *shard.Map[model.PoolID, map[incarnationKey]bool]    // Members that have handed a pool over to this one, while they live.

	parts        *shard.Map[poolGroup, partCount] // Number of pools, where it is above the setting.
	splitPending *shard.Map[poolGroup, bool]      // Groups whose split is scheduled.

	stop      context.CancelFunc
	baseCtx   context.Context // Ends when the plug-in stops.
	startedAt time.Time       // Start of the clock that batches to this member are stamped with.

	gossip       port.Gossip
	senders      *shard.Map[model.NodeID, time.Time] // When each member sent its newest batch.
	loadChanged  chan struct{}                       // Signals publishLoads that a load has changed.
	contradicted atomic.Bool                         // Another member holds a load of an owned pool that was not published; see publishAgain.

	forwarded *shard.Map[string, forwardedAnnouncement] // Newest announcements that this member has forwarded, by the endpoint's address.

	unreachable *shard.Map[model.NodeID, bool] // Members that did not reply and have not been reached since.

	created chan struct{}                       // Signals watchOrigins that there is a new pool, or a past holder of one.
	effects sync.Pool                           // Holds *poolstate.Effects, so that later steps use the buffers again.
	origins *shard.Map[incarnationKey, *origin] // Members that send batches to this one.
	clocks  *shard.Map[model.NodeID, transit.Reading]
	turns   *shard.Map[taskRef, turn] // Attempts that may be running, by their task.

	keptElsewhere *shard.Map[taskRef, *keptTask] // Tasks whose turns other members keep, or have given back.
	withdrawn     *shard.Map[string, time.Time]  // Keys of jobs that their callers have cancelled, and until when they are remembered.
	turnUpdates   atomic.Uint64                  // Number of the newest update on a turn of this member.
	witnessed     *shard.Map[witnessKey, *witnessedTurn]
	// witnessUpdates are updates that are to be sent to witnesses of this member.
	witnessUpdates *shard.Map[model.NodeID, taskUpdates]
	witnessBudget  witnessBudget

	losses         *shard.Map[taskRef, taskLosses]               // Endpoints that have crashed under tasks.
	pendingUpdates *shard.Map[updateTarget, taskUpdates]         // Updates that are to be sent to other members.
	updateAdded    chan struct{}                                 // Signals publishUpdates that there are some.
	relayed        *shard.Map[model.DataCentre, *relayedUpdates] // Updates that are to be sent on, by the data centre.

	draining atomic.Bool // New batches are refused; set by Drain.

	instruments instruments
}

// Provision reads the settings, looks up the ports that the plug-in needs and binds its own.
func (p *Pools) Provision(c *plugin.Context) error {
	p.settings = defaultSettings
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
	p.tasks.Observe(p)
	p.gossip.Subscribe(topicLoads, p.handleGossipedLoads)
	p.gossip.Subscribe(topicParts, p.handleGossipedParts)
	plugin.Bind[port.Pools](c, p)
	plugin.Bind[port.PoolJudge](c, p)
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
	p.clocks = shard.New[model.NodeID, transit.Reading](shard.DefaultCount)
	p.startedAt = time.Now()
	p.turns = shard.New[taskRef, turn](shard.DefaultCount)
	p.witnessUpdates = shard.New[model.NodeID, taskUpdates](shard.DefaultCount)
	p.witnessed = shard.New[witnessKey, *witnessedTurn](shard.DefaultCount)
	p.withdrawn = shard.New[string, time.Time](shard.DefaultCount)
	p.keptElsewhere = shard.New[taskRef, *keptTask](shard.DefaultCount)
	p.losses = shard.New[taskRef, taskLosses](shard.DefaultCount)
	p.pendingUpdates = shard.New[updateTarget, taskUpdates](shard.DefaultCount)
	p.relayed = shard.New[model.DataCentre, *relayedUpdates](1)
	p.updateAdded = make(chan struct{}, 1)
	p.forwarded = shard.New[string, forwardedAnnouncement](shard.DefaultCount)
	p.unreachable = shard.New[model.NodeID, bool](shard.DefaultCount)
	p.parts = shard.New[poolGroup, partCount](shard.DefaultCount)
	p.splitPending = shard.New[poolGroup, bool](shard.DefaultCount)
	p.ownerCache = shard.New[poolGroup, groupOwners](shard.DefaultCount)
	p.formerOwners = shard.New[model.PoolID, map[model.NodeID]time.Time](shard.DefaultCount)
	p.pastHolders = shard.New[model.PoolID, map[incarnationKey]bool](shard.DefaultCount)
	p.instruments = newInstruments(registry)
	p.registerGauges(registry)
	p.baseCtx, p.stop = context.WithCancel(context.Background())
	p.registerHandlers()
}

// Start starts the goroutines that publish loads and watch the membership.
func (p *Pools) Start() error {
	go p.publishLoads()
	go p.publishUpdates()
	go p.watchJoins()
	go p.watchOrigins()
	go p.watchSessions()
	go p.watchOwnership()
	go p.watchEvacuations()
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
	if p.refuseWithdrawn(batch, w) {
		return
	}
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
	p.step(batch.Pool, poolstate.Submitted{Batch: p.withLosses(batch), Profile: profile})
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

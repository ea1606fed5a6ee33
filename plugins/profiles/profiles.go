// Package profiles is the plug-in of the replicated register of profiles. It runs this member's state
// machine of package register, which makes the decisions: it exchanges messages with other members,
// keeps the durable state on disk, and puts chosen states in force in this process.
package profiles

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/plugins/profiles/disk"
	"redwingpulley/plugins/profiles/occupancy"
	"redwingpulley/plugins/profiles/register"
)

const (
	folderName      = "profiles" // Folder of the register's file, in the data folder.
	healthCondition = "profiles" // Condition of plugin.Health that blocks readiness until a revision is in force.
)

// Settings are the settings of the plug-in.
type Settings struct {
	// Cluster is the name of the cluster; files and messages of another cluster are refused.
	Cluster string `json:"cluster"`
	// ServeAloneMS is how long a starting process waits for a majority of the replicas before it
	// trusts the newest revision of the members that it can reach, in milliseconds; 0 waits forever.
	ServeAloneMS int64 `json:"serve_alone_ms"`
	// Reform lets this replica vote although the disks of a majority are lost. Set it only as
	// OPERATIONS.md describes, and remove it afterwards.
	Reform bool `json:"reform"`
	// DetectCopies treats the register's file as a copy when its inode number is not the one that it was
	// written with. Turn it off where file systems do not keep inode numbers over a restart; then an old
	// copy of the folder must never be restored.
	DetectCopies bool `json:"detect_copies"`
	// ToleratedDisks is the number of replicas whose disks may be lost at the same time without the loss
	// of an accepted change. A first start makes 2*ToleratedDisks+1 replicas, if so many members have disks.
	ToleratedDisks int `json:"tolerated_disks"`
}

// Check reports invalid settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.ServeAloneMS >= 0, "serve_alone_ms", "must not be negative")
	faults.Require(s.ToleratedDisks >= 0, "tolerated_disks", "must not be negative")
}

// Profiles is the plug-in. It is created through the plug-in registry.
type Profiles struct {
	settings         Settings
	self             model.NodeID
	group            atomic.Pointer[replicaGroup] // Nil until the replicas are known.
	place            model.NodeID                 // Replica whose place this member has, or its identity without a place; guarded by core.
	takeoverEnabled  bool                         // Whether a member may take the place of a replica whose member is gone.
	gossipedReplicas chan []model.NodeID          // Replicas that another member published; buffers one value.
	bootstrap        bool                         // Whether the settings say that this is a first start.
	bootstrapAddrs   []netip.Addr                 // Addresses of the seeds' VMs; nil unless this member chooses the replicas of a first start.
	founders         founders
	path             string // Path of the register's folder on disk; "" without a disk.
	peers            port.Peers
	membership       port.Membership
	gossip           port.Gossip
	recorder         port.Recorder
	health           *plugin.Health
	log              *slog.Logger
	revision         metrics.Gauge
	messagesSent     metrics.Counter
	writesFailed     metrics.Counter
	inForceSince     atomic.Int64 // Unix time in seconds at which the newest revision came into force here; 0 before one is.
	loggedState      []slog.Attr  // Fields of the newest line about this replica's state; used by the goroutine of run only.
	lastWriteFailed  bool         // Whether the last write to disk failed; used by the goroutine of run only.

	serving atomic.Pointer[register.State] // State in force here; nil before there is one.
	notify  struct {
		sync.Mutex
		changed chan struct{} // Closed when the next revision is in force.
	}

	absences struct {
		sync.Mutex
		occupancy.Absences
	}

	core       core
	disk       disk.Disk
	release    func() error    // Unlocks the folder on disk; nil without a disk.
	wakeup     chan struct{}   // Wakes run when there are effects to execute; buffers one signal.
	ctx        context.Context // Ends when the plug-in stops.
	cancel     context.CancelFunc
	goroutines goroutines
}

// core holds the machine and the effects of its steps that are still to be executed, under one lock.
type core struct {
	sync.Mutex
	machine    *register.Machine
	effects    []issuedEffect                   // Effects of steps that run has not taken yet, in order.
	waiters    map[uint64]chan model.EditResult // By ticket: where the result of a submitted edit is delivered.
	lastTicket uint64
	steps      uint64         // Steps of the current machine so far.
	syncedVote register.Store // Store that may vote by the file as it was last synced; zero when none may.
	nextTimer  time.Time      // When the machine has to be stepped with Woken next.
	heldSince  time.Time      // When this member took its place; zero without one, or where its file does not tell.
}

// Provision binds the ports and reads the settings.
func (p *Profiles) Provision(c *plugin.Context) error {
	p.settings = Settings{ServeAloneMS: defaultServeAlone.Milliseconds(), DetectCopies: true, ToleratedDisks: defaultToleratedDisks}
	err := errors.Join(
		c.Settings(&p.settings),
		plugin.Need(c, &p.peers),
		plugin.Need(c, &p.membership),
		plugin.Need(c, &p.recorder),
		plugin.Need(c, &p.gossip),
	)
	if err != nil {
		return err
	}
	p.self, p.health, p.log = c.Node.Node, c.Health, c.Log
	if err := p.configureGroup(c); err != nil {
		return err
	}
	p.revision = metrics.NewRegisteredGauge("profiles.revision", c.Metrics)
	metrics.NewRegisteredFunctionalGauge("profiles.in_force_s", c.Metrics, p.secondsInForce)
	p.registerEvacuationGauge(c.Metrics)
	metrics.NewRegisteredFunctionalGauge("profiles.rounds", c.Metrics, func() int64 { return int64(p.rounds().Started) })
	metrics.NewRegisteredFunctionalGauge("profiles.rounds_lost", c.Metrics, func() int64 { return int64(p.rounds().Lost) })
	p.messagesSent = metrics.NewRegisteredCounter("profiles.messages_sent", c.Metrics)
	p.writesFailed = metrics.NewRegisteredCounter("profiles.writes_failed", c.Metrics)
	p.notify.changed = make(chan struct{})
	p.wakeup = make(chan struct{}, 1)
	p.gossipedReplicas = make(chan []model.NodeID, 1)
	p.founders.known, p.founders.changed = make(map[model.NodeID]bool), make(chan struct{}, 1)
	p.health.Block(healthCondition, "no revision is learned yet")
	p.registerHandlers()
	plugin.Bind[port.Profiles](c, p)
	plugin.Bind[port.ProfileRegister](c, p)
	plugin.Bind[port.Routing](c, p)
	plugin.Bind[port.Evacuations](c, p)
	return nil
}

const (
	defaultServeAlone     = 5 * time.Second
	defaultToleratedDisks = 1
)

// Start reads the file on disk and starts consensus, at once or as soon as the replicas are known.
func (p *Profiles) Start() error {
	loaded, err := p.loadDisk()
	if err != nil {
		return err
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	switch {
	case p.group.Load() != nil:
		p.startConsensus(loaded, p.group.Load().replicas)
	case len(loaded.Replicas) > 0:
		p.startConsensus(loaded, loaded.Replicas)
	default:
		p.publishFounding(p.beginFounding(loaded))
		p.goroutines.Go(func() { p.awaitGroup(loaded) })
	}
	return nil
}

// startConsensus starts this member's machine, and the goroutines that serve it, with the now known
// replicas.
func (p *Profiles) startConsensus(loaded disk.Loaded, replicas []model.NodeID) {
	p.group.Store(newGroup(replicas))
	p.publishGroup()
	p.publishFounding(false)
	p.endFounding(replicas)
	p.installMachine(cmp.Or(loaded.Place, p.self), loaded, register.Store{})
	p.goroutines.Go(p.run)
	p.goroutines.Go(p.watchPlaces)
	p.step(register.Woken{})
}

// installMachine replaces this member's machine by a new one, for a replica's place or for the identity
// of a member without a place. takes is the store of the former member when the place is taken over,
// else zero.
func (p *Profiles) installMachine(place model.NodeID, loaded disk.Loaded, takes register.Store) {
	replicas := p.replicas()
	created := register.Created{Restored: loaded.Durable, Config: register.Config{
		Self: place, Takes: takes, Replicas: replicas, Seed: rand.Uint64(),
		Copied: loaded.Copied, Reform: p.settings.Reform,
		Alone: time.Duration(p.settings.ServeAloneMS) * time.Millisecond,
	}}
	if p.takeoverEnabled {
		created.Config.Node = p.self
	}
	p.record(0, p.now(), created, nil)
	p.core.Lock()
	p.core.machine = created.Machine()
	p.core.effects, p.core.steps = nil, 0
	abandoned := p.core.waiters
	p.core.waiters = make(map[uint64]chan model.EditResult)
	p.place = place
	p.core.heldSince = heldSince(loaded, created)
	p.disk.Replicas, p.disk.Place, p.disk.Since = replicas, place, p.core.heldSince
	p.core.Unlock()
	for _, waiter := range abandoned { // The former machine gives them no result any more.
		waiter <- model.EditResult{Status: model.EditNoMajority, Run: model.MayHaveRun}
	}
	event.ReplicaPlaced.Log(p.log, event.List(event.Replicas, replicas), event.Text(event.Place, place), event.Flag(event.Replica, slices.Contains(replicas, place)))
}

// heldSince returns when a member took the place that it is about to have: now, unless its file tells. It is zero for a
// file without the time.
func heldSince(loaded disk.Loaded, created register.Created) time.Time {
	if loaded.Durable != nil {
		return loaded.Since
	}
	if !slices.Contains(created.Config.Replicas, created.Config.Self) {
		return time.Time{}
	}
	return time.Now().UTC().Round(time.Millisecond)
}

// loadDisk opens and locks the folder on disk and reads the register's file. Without a disk it returns
// nothing.
func (p *Profiles) loadDisk() (disk.Loaded, error) {
	if p.path == "" {
		return disk.Loaded{}, nil
	}
	folder, release, err := disk.Open(p.path)
	if err != nil {
		return disk.Loaded{}, errors.Wrap(err, "data_dir")
	}
	p.release = release
	p.disk = disk.Disk{Folder: folder, Node: p.self, Cluster: p.settings.Cluster}
	loaded, err := p.disk.Load()
	if err != nil {
		return disk.Loaded{}, errors.Join(err, release())
	}
	loaded.Copied = loaded.Copied && p.settings.DetectCopies
	switch {
	case loaded.Fault != nil:
		event.RegisterRefused.Log(p.log, event.Err(loaded.Fault))
	case loaded.Durable == nil:
		event.RegisterEmpty.Log(p.log)
	case loaded.Copied:
		event.RegisterCopied.Log(p.log)
	}
	return loaded, nil
}

// Stop ends the goroutines of this member and unlocks its folder on disk.
func (p *Profiles) Stop() error {
	p.cancel()
	p.goroutines.Stop()
	if p.release == nil {
		return nil
	}
	return p.release()
}

// Current returns the profiles in force here; ok is false until a revision is in force. The maps of the
// set are shared and must not be changed.
func (p *Profiles) Current() (model.ProfileSet, bool) {
	state := p.serving.Load()
	if state == nil {
		return model.ProfileSet{}, false
	}
	return state.Set, true
}

// History returns the newest changes, as kept in the state in force here, the newest last.
func (p *Profiles) History() []model.ProfileChange {
	state := p.serving.Load()
	if state == nil {
		return nil
	}
	return slices.Clone(state.History)
}

// Changed returns a channel that is closed when the next revision is in force here.
func (p *Profiles) Changed() <-chan struct{} {
	p.notify.Lock()
	defer p.notify.Unlock()
	return p.notify.changed
}

// Replica reports whether this member votes, only learns, or has no place among the replicas. It votes once that
// is synced: a replica that stops before would come back as one that has lost its disk.
func (p *Profiles) Replica() port.ReplicaState {
	p.core.Lock()
	defer p.core.Unlock()
	if p.path == "" || p.core.machine != nil && !slices.Contains(p.replicas(), p.place) {
		return port.ReplicaNone
	}
	if p.core.machine == nil || !p.core.machine.CanVote() {
		return port.ReplicaLearner
	}
	if !p.voteSyncedLocked() {
		return port.ReplicaLearner
	}
	return port.ReplicaVoter
}

// rounds returns the numbers of rounds that this member has proposed in its present place.
func (p *Profiles) rounds() register.Rounds {
	p.core.Lock()
	defer p.core.Unlock()
	if p.core.machine == nil {
		return register.Rounds{}
	}
	return p.core.machine.Rounds()
}

// voteSyncedLocked reports whether the file as it is now on the disk may vote from the newest store of this member's place.
// The caller holds the lock of core.
func (p *Profiles) voteSyncedLocked() bool {
	_, store := p.core.machine.Holder(p.place)
	return store == p.core.syncedVote
}

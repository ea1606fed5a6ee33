// Package profiles holds the register of profiles: it runs this member's part of the agreement,
// keeps it on disk, and puts accepted changes in force. The decisions are made in package
// register.
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
	"redwingpulley/plugins/profiles/register"
)

const (
	folderName = "profiles" // Below the data folder.
	condition  = "profiles" // Of plugin.Health.
)

// Settings are those of the plug-in.
type Settings struct {
	// Cluster names the group; files and messages of another group are refused.
	Cluster string `json:"cluster"`
	// ServeAloneMS is how long a starting process waits for a majority of the replicas before it
	// believes the newest of the members that it can reach, in milliseconds; 0 is forever.
	ServeAloneMS int64 `json:"serve_alone_ms"`
	// Reform lets this replica vote although the disks of a majority are lost. Set it only as
	// OPERATIONS.md says, and take it out again.
	Reform bool `json:"reform"`
	// DetectCopies has a file whose inode is not the one it was written as taken for a copy. Turn it
	// off where file systems do not keep inodes over a restart; then no old copy of the folder may
	// ever be put in place.
	DetectCopies bool `json:"detect_copies"`
}

// Check tells the faults of the settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.ServeAloneMS >= 0, "serve_alone_ms", "must not be negative")
}

// Profiles is the plug-in. Create it through the registry.
type Profiles struct {
	settings   Settings
	self       model.NodeID
	group      atomic.Pointer[replicaGroup] // nil until the replicas are known.
	place      model.NodeID                 // Replica whose place this member has, or its identity without one; guarded by core.
	movable    bool                         // Whether members may take the place of a replica whose member is gone.
	told       chan []model.NodeID          // What other members told of the replicas; holds one.
	founders   []netip.Addr                 // VMs of the replicas at the very first start; nil at a later one.
	path       string                       // Of the folder on disk; "" without a disk.
	peers      port.Peers
	membership port.Membership
	gossip     port.Gossip
	recorder   port.Recorder
	health     *plugin.Health
	log        *slog.Logger
	revision   metrics.Gauge
	sent       metrics.Counter
	failed     metrics.Counter
	inForce    atomic.Int64 // Unix time at which the newest revision came into force here.
	unwritten  bool         // The newest write has failed; used by run alone.

	serving atomic.Pointer[register.State]
	notify  struct {
		sync.Mutex
		changed chan struct{} // Closed at the next revision.
	}

	core    core
	disk    disk.Disk
	release func() error
	work    chan struct{} // Signals that effects wait; holds one.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// core is the machine and what its steps left to do, under one lock.
type core struct {
	sync.Mutex
	machine *register.Machine
	effects []register.Effect
	waiting map[uint64]chan model.EditResult // By ticket.
	tickets uint64
	steps   uint64
	wake    time.Time
}

// Provision binds the ports and reads the settings.
func (p *Profiles) Provision(c *plugin.Context) error {
	p.settings = Settings{ServeAloneMS: defaultServeAlone.Milliseconds(), DetectCopies: true}
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
	if err := p.learnSettings(c); err != nil {
		return err
	}
	p.revision = metrics.NewRegisteredGauge("profiles.revision", c.Metrics)
	metrics.NewRegisteredFunctionalGauge("profiles.in_force_s", c.Metrics, p.sinceInForce)
	p.sent = metrics.NewRegisteredCounter("profiles.messages_sent", c.Metrics)
	p.failed = metrics.NewRegisteredCounter("profiles.writes_failed", c.Metrics)
	p.notify.changed = make(chan struct{})
	p.work = make(chan struct{}, 1)
	p.told = make(chan []model.NodeID, 1)
	p.health.Block(condition, "no revision is learned yet")
	p.handle()
	plugin.Bind[port.Profiles](c, p)
	plugin.Bind[port.ProfileRegister](c, p)
	plugin.Bind[port.Routing](c, p)
	return nil
}

const defaultServeAlone = 5 * time.Second

// Start reads the disk and takes up the agreement, at once or when the replicas are known.
func (p *Profiles) Start() error {
	loaded, err := p.open()
	if err != nil {
		return err
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	switch {
	case p.group.Load() != nil:
		p.begin(loaded, p.group.Load().replicas)
	case len(loaded.Replicas) > 0:
		p.begin(loaded, loaded.Replicas)
	default:
		p.running.Go(func() { p.await(loaded) })
	}
	return nil
}

// begin takes up the agreement among the replicas.
func (p *Profiles) begin(loaded disk.Loaded, replicas []model.NodeID) {
	p.group.Store(newGroup(replicas))
	p.tellGroup()
	p.core.Lock()
	p.core.waiting = make(map[uint64]chan model.EditResult)
	p.core.Unlock()
	p.enter(cmp.Or(loaded.Place, p.self), loaded, register.Store{})
	p.running.Go(p.run)
	if p.path != "" && p.movable {
		p.running.Go(p.watchPlaces)
	}
	p.step(register.Woken{})
}

// enter makes the machine of a place among the replicas, or of none.
func (p *Profiles) enter(place model.NodeID, loaded disk.Loaded, takes register.Store) {
	replicas := p.replicas()
	created := register.Created{Restored: loaded.Durable, Config: register.Config{
		Self: place, Takes: takes, Replicas: replicas, Seed: rand.Uint64(),
		Copied: loaded.Copied, Reform: p.settings.Reform,
		Alone: time.Duration(p.settings.ServeAloneMS) * time.Millisecond,
	}}
	if p.movable {
		created.Config.Node = p.self
	}
	p.record(0, p.now(), created, nil)
	p.core.Lock()
	p.core.machine = created.Machine()
	p.core.effects, p.core.steps = nil, 0
	p.place = place
	p.disk.Replicas, p.disk.Place = replicas, place
	p.core.Unlock()
	event.ReplicaPlaced.Log(p.log, event.List(event.Replicas, replicas), event.Text(event.Place, place), event.Is(event.Replica, slices.Contains(replicas, place)))
}

func (p *Profiles) open() (disk.Loaded, error) {
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

// Stop ends this member's part of the agreement.
func (p *Profiles) Stop() error {
	p.cancel()
	p.running.Wait()
	if p.release == nil {
		return nil
	}
	return p.release()
}

// Current returns the newest known profiles; ok is false until a revision has been learned.
func (p *Profiles) Current() (model.ProfileSet, bool) {
	state := p.serving.Load()
	if state == nil {
		return model.ProfileSet{}, false
	}
	return state.Set, true
}

// History returns the newest accepted changes, the newest last.
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

// Replica tells how this member takes part in the agreement.
func (p *Profiles) Replica() port.ReplicaState {
	p.core.Lock()
	defer p.core.Unlock()
	if p.path == "" || p.core.machine != nil && !slices.Contains(p.replicas(), p.place) {
		return port.ReplicaNone
	}
	if p.core.machine != nil && p.core.machine.CanVote() {
		return port.ReplicaVoter
	}
	return port.ReplicaLearner
}

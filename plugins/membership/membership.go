// Package membership knows which entry VMs are alive and carries small values between them. The
// decisions are those of a swim.Machine; this package carries its messages and keeps its time.
package membership

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"strings"
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
	"redwingpulley/plugins/membership/swim"
)

const (
	incarnationLength = 12  // Characters of a random incarnation.
	maxValue          = 512 // Bytes of one published value.
	minPeriod         = 10 * time.Millisecond
	healthCondition   = "membership"
	settleTime        = 500 * time.Millisecond // Two reports of the pools' loads.
)

// Settings are the plug-in's own.
type Settings struct {
	PeriodMS int64 `json:"period_ms"` // Between probes; the same on every member.
}

// Check tells the faults of the settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.PeriodMS >= minPeriod.Milliseconds(), "period_ms", fmt.Sprint("must be at least ", minPeriod.Milliseconds()))
}

// Membership is the plug-in. Create it through the registry.
type Membership struct {
	period  time.Duration
	log     *slog.Logger
	health  *plugin.Health
	peers   port.Peers
	metrics instruments
	seeds   atomic.Pointer[[]string]              // Addresses of listeners for peers, without this member's own.
	receive map[string]func(model.NodeID, []byte) // By topic; not changed after Start.
	view    atomic.Pointer[view]
	life    context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	arrived chan struct{} // Holds a token while values wait for their subscribers.

	mu      sync.Mutex // Guards what follows; held for a Step alone.
	machine *swim.Machine
	waiting []swim.Value
	timer   *time.Timer
}

// view is what others ask for, as of the last Step that changed it.
type view struct {
	self       port.Node
	live       []port.Node
	runs       map[model.NodeID]swim.Record
	fresh      bool
	freshUntil time.Time
	changed    chan struct{}
}

type instruments struct {
	pings, relays, changes metrics.Counter
	live                   metrics.Gauge
}

// Provision takes the first members from settings.
func (m *Membership) Provision(c *plugin.Context) error {
	own := Settings{PeriodMS: 500}
	if err := errors.Join(c.Settings(&own), plugin.Need(c, &m.peers)); err != nil {
		return err
	}
	m.period = time.Duration(own.PeriodMS) * time.Millisecond
	m.log, m.health = c.Log, c.Health
	m.metrics = instruments{
		pings:   metrics.GetOrRegisterCounter("membership.pings", c.Metrics),
		relays:  metrics.GetOrRegisterCounter("membership.relays", c.Metrics),
		changes: metrics.GetOrRegisterCounter("membership.changes", c.Metrics),
		live:    metrics.GetOrRegisterGauge("membership.live", c.Metrics),
	}
	m.receive = make(map[string]func(model.NodeID, []byte))
	m.arrived = make(chan struct{}, 1)
	m.life, m.stop = context.WithCancel(context.Background())
	config, err := m.config(c)
	if err != nil {
		return err
	}
	m.machine = swim.New(time.Now(), config)
	m.publishView(true)
	m.handlePeers()
	plugin.Bind[port.Membership](c, m)
	plugin.Bind[port.Gossip](c, m)
	plugin.Bind[port.Liveness](c, m)
	return nil
}

func (m *Membership) config(c *plugin.Context) (config swim.Config, err error) {
	config = swim.Config{Epoch: uint64(time.Now().UnixMilli()), Period: m.period, Seed: randomSeed()}
	if len(c.Node.Seeds) > 0 {
		var seeds []string
		seeds, err = peerAddresses(c.Node)
		m.seeds.Store(&seeds)
		config.Self, config.Searching = ownNode(c.Node), true
		return config, err
	}
	for _, member := range c.Node.Members {
		node := port.Node{
			ID: member.Node, DataCentre: member.DataCentre,
			Peers: member.Peers, Endpoints: member.Endpoints, Disk: member.Disk,
		}
		if node.ID == c.Node.Node {
			node.Incarnation = newIncarnation()
			node.Draining = true // Until the process is ready.
			config.Self = node
			continue
		}
		config.Seeds = append(config.Seeds, node)
	}
	return config, nil
}

func newIncarnation() model.Incarnation {
	return model.Incarnation(strings.ToLower(rand.Text()[:incarnationLength]))
}

func randomSeed() uint64 {
	var seed [8]byte
	rand.Read(seed[:]) // Never fails: the runtime stops the process instead.
	return binary.LittleEndian.Uint64(seed[:])
}

// Start begins to probe. The process is not ready before its first contact with another member,
// and before the others have had the time to hand over the pools that it owns from then on.
func (m *Membership) Start() error {
	m.health.Block(healthCondition, "not yet known to the other members")
	m.running.Go(m.deliver)
	m.running.Go(m.watchHealth)
	if m.seeds.Load() != nil {
		m.running.Go(m.findMembers)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(0, func() { m.step(swim.Elapsed{}) })
	return nil
}

// watchHealth tells the others once nothing else keeps this process from serving, so that it owns
// no pool before. It becomes ready after the settle time.
func (m *Membership) watchHealth() {
	for !m.Fresh() || !m.health.ReadyBut(healthCondition) {
		healthy, changed := m.health.Changed(), m.Changed()
		if m.Fresh() && m.health.ReadyBut(healthCondition) {
			break
		}
		select {
		case <-healthy:
		case <-changed:
		case <-m.life.Done():
			return
		}
	}
	m.step(swim.Serving{})
	if len(m.Alive()) > 1 && !m.pause(settleTime) {
		return
	}
	m.health.Clear(healthCondition)
}

// pause waits and reports whether the process still runs.
func (m *Membership) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.life.Done():
		return false
	}
}

// Stop tells others that this member stops, and ends its probes.
func (m *Membership) Stop() error {
	ctx, cancel := context.WithTimeout(m.life, m.answerTimeout())
	defer cancel()
	m.tell(ctx, swim.Stopping{})
	m.stop()
	m.mu.Lock()
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
	m.mu.Unlock()
	m.running.Wait()
	return nil
}

// Self returns this member.
func (m *Membership) Self() port.Node { return m.view.Load().self }

// Alive returns the live members sorted by id. The slice must not be changed.
func (m *Membership) Alive() []port.Node { return m.view.Load().live }

// Changed returns a channel that is closed at the next change of Alive or Fresh.
func (m *Membership) Changed() <-chan struct{} { return m.view.Load().changed }

// Fresh reports whether the view is recent enough to act as an owner.
func (m *Membership) Fresh() bool {
	v := m.view.Load()
	now := time.Now()
	return v.fresh && now.Before(v.freshUntil) && now.Round(0).Before(v.freshUntil.Round(0))
}

// Gone reports whether that run of the node is known to have ended.
func (m *Membership) Gone(node model.NodeID, incarnation model.Incarnation) bool {
	r, known := m.view.Load().runs[node]
	if !known || r.Epoch == 0 {
		return false
	}
	return !r.State.Live() || r.Node.Incarnation != incarnation
}

// Doubt has a member probed at once.
func (m *Membership) Doubt(node model.NodeID) { m.step(swim.Doubted{Node: node}) }

// Leave tells the others that this member drains, and returns when those of its data centre have
// answered or the context has ended.
func (m *Membership) Leave(ctx context.Context) { m.tell(ctx, swim.Leaving{}) }

// Publish sets what this member tells under a topic. A value that is too large is dropped.
func (m *Membership) Publish(topic string, value []byte) {
	if len(value) > maxValue {
		event.ValueTooLarge.Log(m.log, event.Text(event.Topic, topic), event.Count(event.Bytes, len(value)))
		return
	}
	m.step(swim.Published{Topic: topic, Data: value})
}

// Subscribe has receive called with what other members tell under a topic.
func (m *Membership) Subscribe(topic string, receive func(model.NodeID, []byte)) {
	m.receive[topic] = receive
}

// deliver hands values to their subscribers in the order in which they were learned.
func (m *Membership) deliver() {
	for {
		select {
		case <-m.arrived:
		case <-m.life.Done():
			return
		}
		m.mu.Lock()
		values := m.waiting
		m.waiting = nil
		m.mu.Unlock()
		for _, v := range values {
			if receive, ok := m.receive[v.Topic]; ok {
				receive(v.Origin, v.Data)
			}
		}
	}
}

// Package membership maintains the view of which entry VMs are alive, and gossips small values
// between them. A swim.Machine makes the decisions; this package runs its timer and sends and
// receives its messages.
package membership

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"slices"
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
	incarnationLength = 12   // Characters of a random incarnation.
	maxValueBytes     = 1024 // Largest size of a published value.
	minPeriod         = 10 * time.Millisecond
	healthCondition   = "membership"
	// settleTime is how long other members have to hand over pools to this one before it is ready:
	// the time of two reports of the pools' loads.
	settleTime = 500 * time.Millisecond

	lateSampleSize  = 256   // Number of times that the histogram of lateness keeps.
	lateSampleAlpha = 0.015 // Decay rate of the sample: a higher one gives recent times more weight.
)

// Settings are the settings of the plug-in.
type Settings struct {
	PeriodMS int64 `json:"period_ms"` // Time between probes; must be the same on every member.
}

// Check reports invalid settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.PeriodMS >= minPeriod.Milliseconds(), "period_ms", fmt.Sprint("must be at least ", minPeriod.Milliseconds()))
}

// Membership is the membership plug-in. Create it through the registry.
type Membership struct {
	period  time.Duration
	log     *slog.Logger
	health  *plugin.Health
	peers   port.Peers
	metrics instruments
	// seeds contains the addresses of other members' listeners for peers; nil when the settings list
	// members.
	seeds       atomic.Pointer[[]string]
	receive     map[string]func(model.NodeID, []byte) // Subscribers by topic; not changed after Start.
	view        atomic.Pointer[view]
	baseCtx     context.Context // Ends when the plug-in stops.
	stop        context.CancelFunc
	goroutines  sync.WaitGroup
	valuesReady chan struct{} // Holds a token while undelivered contains values.

	// mu guards the fields below. It is held only for a Step, never during a call to another member.
	mu          sync.Mutex
	machine     *swim.Machine
	undelivered []swim.Value // Values to be passed to their subscribers.
	timer       *time.Timer  // Fires when the machine's next Elapsed is due.
}

// view is a snapshot of the machine's view, published after each Step and not changed afterwards.
// live and records are renewed only when the Step reports a change of the view.
type view struct {
	self       port.Node
	live       []port.Node
	records    []swim.Record // Sorted by the members' ids.
	fresh      bool
	freshUntil time.Time
	pauses     uint64
	changed    chan struct{} // Closed when the next change of the view is published.
}

// record returns the record of a member, if it is known.
func (v *view) record(id model.NodeID) (r swim.Record, known bool) {
	at, known := slices.BinarySearchFunc(v.records, id, func(r swim.Record, id model.NodeID) int { return cmp.Compare(r.Node.ID, id) })
	if !known {
		return swim.Record{}, false
	}
	return v.records[at], true
}

type instruments struct {
	pings, relays, changes metrics.Counter
	live                   metrics.Gauge
	late                   metrics.Histogram // Milliseconds by which the state machine's timer was late.
}

// Provision creates the state machine from the settings, registers the handlers of the methods that
// other members call, and provides the plug-in's ports.
func (m *Membership) Provision(c *plugin.Context) error {
	options := Settings{PeriodMS: 500}
	if err := errors.Join(c.Settings(&options), plugin.Need(c, &m.peers)); err != nil {
		return err
	}
	m.period = time.Duration(options.PeriodMS) * time.Millisecond
	m.log, m.health = c.Log, c.Health
	m.metrics = instruments{
		pings:   metrics.GetOrRegisterCounter("membership.pings", c.Metrics),
		relays:  metrics.GetOrRegisterCounter("membership.relays", c.Metrics),
		changes: metrics.GetOrRegisterCounter("membership.changes", c.Metrics),
		live:    metrics.GetOrRegisterGauge("membership.live", c.Metrics),
		late:    metrics.GetOrRegisterHistogram("membership.late_ms", c.Metrics, metrics.NewExpDecaySample(lateSampleSize, lateSampleAlpha)),
	}
	m.receive = make(map[string]func(model.NodeID, []byte))
	m.valuesReady = make(chan struct{}, 1)
	m.baseCtx, m.stop = context.WithCancel(context.Background())
	config, err := m.config(c)
	if err != nil {
		return err
	}
	m.machine = swim.New(time.Now(), config)
	m.publishView(true)
	m.registerHandlers()
	plugin.Bind[port.Membership](c, m)
	plugin.Bind[port.Gossip](c, m)
	plugin.Bind[port.Liveness](c, m)
	return nil
}

// config returns the configuration of the state machine, either with the members that the settings
// list or, when there are seeds instead, without any.
func (m *Membership) config(c *plugin.Context) (config swim.Config, err error) {
	config = swim.Config{Epoch: uint64(time.Now().UnixMilli()), Period: m.period, RandomSeed: randomSeed()}
	if len(c.Node.Seeds) > 0 {
		var seeds []string
		seeds, err = seedAddresses(c.Node)
		m.seeds.Store(&seeds)
		config.Self, config.Discovering = selfNode(c.Node), true
		return config, err
	}
	for _, member := range c.Node.Members {
		node := port.Node{
			ID: member.Node, DataCentre: member.DataCentre,
			Peers: member.Peers, Endpoints: member.Endpoints, Disk: member.Disk,
		}
		if node.ID == c.Node.Node {
			node.Incarnation = newIncarnation()
			node.Draining = true // Until the process is healthy.
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
	rand.Read(seed[:]) // Never returns an error: the runtime crashes the process instead.
	return binary.LittleEndian.Uint64(seed[:])
}

// Start begins to probe. The process does not become ready before its first contact with another
// member, nor before the others have had time to hand over the pools that it owns from then on.
func (m *Membership) Start() error {
	m.health.Block(healthCondition, "not yet known to the other members")
	m.goroutines.Go(m.deliverValues)
	m.goroutines.Go(m.announceWhenHealthy)
	if m.seeds.Load() != nil {
		m.goroutines.Go(m.discoverMembers)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(0, func() { m.step(swim.Elapsed{}) })
	return nil
}

// announceWhenHealthy announces to the other members that this one takes work, once nothing else
// keeps the process from serving, so that it owns no pool before. The process becomes ready after
// settleTime.
func (m *Membership) announceWhenHealthy() {
	for !m.Fresh() || !m.health.ReadyExcept(healthCondition) {
		healthy, changed := m.health.Changed(), m.Changed()
		if m.Fresh() && m.health.ReadyExcept(healthCondition) {
			break
		}
		select {
		case <-healthy:
		case <-changed:
		case <-m.baseCtx.Done():
			return
		}
	}
	m.step(swim.Serving{})
	if len(m.Alive()) > 1 && !m.sleep(settleTime) {
		return
	}
	m.health.Clear(healthCondition)
}

// sleep waits for d and reports true, or false as soon as the plug-in stops.
func (m *Membership) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.baseCtx.Done():
		return false
	}
}

// Stop announces to the other members that this one stops, and ends its probes.
func (m *Membership) Stop() error {
	ctx, cancel := context.WithTimeout(m.baseCtx, m.answerTimeout())
	defer cancel()
	m.stepAndWait(ctx, swim.Stopping{})
	m.stop()
	m.mu.Lock()
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
	m.mu.Unlock()
	m.goroutines.Wait()
	return nil
}

// Self returns this member's node.
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

// Pauses returns how often this process was found to have been paused.
func (m *Membership) Pauses() uint64 { return m.view.Load().pauses }

// Gone reports whether that incarnation of the node is known to have ended.
func (m *Membership) Gone(node model.NodeID, incarnation model.Incarnation) bool {
	r, known := m.view.Load().record(node)
	if !known || r.Epoch == 0 {
		return false
	}
	return !r.State.Live() || r.Node.Incarnation != incarnation
}

// RequestProbe requests an immediate probe of a member that did not answer a request.
func (m *Membership) RequestProbe(node model.NodeID) { m.step(swim.ProbeRequested{Node: node}) }

// Leave announces to the other members that this one drains. It returns when each of them has
// answered or was not reached in time, or when the context has ended.
func (m *Membership) Leave(ctx context.Context) { m.stepAndWait(ctx, swim.Leaving{}) }

// Publish sets the value that this member publishes under a topic. A value of more than
// maxValueBytes is logged and dropped.
func (m *Membership) Publish(topic string, value []byte) {
	if len(value) > maxValueBytes {
		event.ValueTooLarge.Log(m.log, event.Text(event.Topic, topic), event.Int(event.Bytes, len(value)))
		return
	}
	m.step(swim.Published{Topic: topic, Data: value})
}

// Subscribe has receive called with each new value that another member publishes under a topic. It
// must be called before Start.
func (m *Membership) Subscribe(topic string, receive func(model.NodeID, []byte)) {
	m.receive[topic] = receive
}

// deliverValues passes values to their subscribers in the order in which they were received.
func (m *Membership) deliverValues() {
	for {
		select {
		case <-m.valuesReady:
		case <-m.baseCtx.Done():
			return
		}
		m.mu.Lock()
		values := m.undelivered
		m.undelivered = nil
		m.mu.Unlock()
		for _, v := range values {
			if receive, ok := m.receive[v.Topic]; ok {
				receive(v.Origin, v.Data)
			}
		}
	}
}

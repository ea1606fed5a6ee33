package profiles

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

const oneWayDelay = 1500 * time.Microsecond // Delay of a message between data centres.

// network carries calls and gossip between the members of a cluster. Calls are encoded as between
// processes.
type network struct {
	mu            sync.Mutex
	members       []settings.Member
	handlers      map[model.NodeID]map[string]port.Handler
	partitionSide map[model.NodeID]int  // Side of the partition that a member is on; 0 for members not named.
	dead          map[model.NodeID]bool // Members that membership considers dead.
	gossiped      map[string]map[model.NodeID][]byte
	subscribers   map[string]map[model.NodeID]func(model.NodeID, []byte)
	calls         int
	bytes         int
}

// partition separates the given members from all others. Without members it ends the partition.
func (n *network) partition(nodes ...model.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionSide = make(map[model.NodeID]int)
	for _, node := range nodes {
		n.partitionSide[node] = 1
	}
}

// handlerFor counts a call and returns the handler of its method at the called member, nil when a
// partition is between the members or the called one is stopped.
func (n *network) handlerFor(from, to model.NodeID, method string, size int) port.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	n.bytes += size
	if n.partitionSide[from] != n.partitionSide[to] {
		return nil
	}
	return n.handlers[to][method]
}

// fakePorts is the plug-in of one member that provides port.Peers, port.Membership, port.Gossip and
// port.Recorder.
type fakePorts struct {
	net  *network
	self model.NodeID
}

func (p *fakePorts) Provision(c *plugin.Context) error {
	p.self = c.Node.Node
	p.net.mu.Lock()
	p.net.handlers[p.self] = make(map[string]port.Handler)
	p.net.mu.Unlock()
	plugin.Bind[port.Peers](c, p)
	plugin.Bind[port.Membership](c, p)
	plugin.Bind[port.Gossip](c, p)
	plugin.Bind[port.Recorder](c, p)
	return nil
}

func (p *fakePorts) Handle(method string, handler port.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.handlers[p.self][method] = handler
}

func (p *fakePorts) SetAddress(model.NodeID, string) {}

func (*fakePorts) Encode(request any) (port.EncodedRequest, error) {
	plain, err := json.Marshal(request)
	return port.EncodedRequest{Plain: plain}, err
}

func (p *fakePorts) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	body, err := json.Marshal(request)
	if err != nil {
		return port.NotSent
	}
	handler := p.net.handlerFor(p.self, to, method, len(body))
	if handler == nil {
		<-ctx.Done() // An unreachable member gives no error.
		return port.Unknown
	}
	time.Sleep(oneWayDelay)
	answer, err := handler(ctx, p.self, func(target any) error {
		return json.NewDecoder(bytes.NewReader(body)).Decode(target)
	})
	if err != nil {
		return port.Unknown
	}
	time.Sleep(oneWayDelay)
	encoded, err := json.Marshal(answer)
	if err != nil || json.Unmarshal(encoded, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

func (p *fakePorts) Self() port.Node { return port.Node{ID: p.self} }

func (p *fakePorts) Alive() []port.Node {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	var alive []port.Node
	for _, m := range p.net.members {
		if p.net.partitionSide[m.Node] == p.net.partitionSide[p.self] && !p.net.dead[m.Node] {
			alive = append(alive, port.Node{ID: m.Node, Disk: m.Disk, Peers: m.Peers})
		}
	}
	return alive
}

func (p *fakePorts) Changed() <-chan struct{} { return nil }
func (p *fakePorts) Leave(context.Context)    {}
func (p *fakePorts) Active() bool             { return false }
func (p *fakePorts) Record(port.RecordedStep) {}

// gossipDelay is the delay of gossip, which is carried by the messages of membership.
const gossipDelay = 100 * time.Millisecond

// Publish delivers the value to the members on the same side of a partition, and to members that
// subscribe later.
func (p *fakePorts) Publish(topic string, value []byte) {
	p.net.mu.Lock()
	var subscribers []func(model.NodeID, []byte)
	if p.net.gossiped[topic] == nil {
		p.net.gossiped[topic] = make(map[model.NodeID][]byte)
	}
	p.net.gossiped[topic][p.self] = value
	for node, f := range p.net.subscribers[topic] {
		if node != p.self && p.net.partitionSide[node] == p.net.partitionSide[p.self] {
			subscribers = append(subscribers, f)
		}
	}
	p.net.mu.Unlock()
	time.AfterFunc(gossipDelay, func() {
		for _, f := range subscribers {
			f(p.self, value)
		}
	})
}

func (p *fakePorts) Subscribe(topic string, f func(model.NodeID, []byte)) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.subscribers[topic] == nil {
		p.net.subscribers[topic] = make(map[model.NodeID]func(model.NodeID, []byte))
	}
	p.net.subscribers[topic][p.self] = f
	for node, value := range p.net.gossiped[topic] {
		if node != p.self {
			go f(node, value)
		}
	}
}

// cluster is several members that run in the process of a test.
type cluster struct {
	t     *testing.T
	net   *network
	dir   string
	hosts map[model.NodeID]*plugin.Host
	// customize, if set, returns the changed settings of a member that is about to start.
	customize func(settings.Settings) settings.Settings
}

// startCluster starts members with disks, which are the replicas, and members without, and waits until
// all of them serve.
func startCluster(t *testing.T, replicas, diskless int) *cluster {
	t.Helper()
	return startCustomCluster(t, replicas, diskless, nil)
}

// startCustomCluster is startCluster with settings that customize has changed, unless it is nil.
func startCustomCluster(t *testing.T, replicas, diskless int, customize func(settings.Settings) settings.Settings) *cluster {
	t.Helper()
	c := startClusterNoWait(t, replicas, diskless, customize)
	for i := range c.net.members {
		c.awaitRevision(node(i), 0)
	}
	return c
}

// startClusterNoWait is startCustomCluster without waiting for the members to serve.
func startClusterNoWait(t *testing.T, replicas, diskless int, customize func(settings.Settings) settings.Settings) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), hosts: make(map[model.NodeID]*plugin.Host), customize: customize}
	c.net = &network{
		handlers: make(map[model.NodeID]map[string]port.Handler), dead: make(map[model.NodeID]bool),
		gossiped: make(map[string]map[model.NodeID][]byte), subscribers: make(map[string]map[model.NodeID]func(model.NodeID, []byte)),
	}
	for i := range replicas + diskless {
		c.net.members = append(c.net.members, settings.Member{Node: node(i), Disk: i < replicas, Peers: address(i)})
	}
	for i := range c.net.members {
		c.start(node(i))
	}
	return c
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7", i+1) }

func node(i int) model.NodeID { return model.NodeID(fmt.Sprintf("n%d", i)) }

func (c *cluster) start(id model.NodeID) {
	c.t.Helper()
	definitions := []plugin.Definition{
		{
			ID:       "peers",
			Provides: []plugin.Port{plugin.PortOf[port.Peers](), plugin.PortOf[port.Membership](), plugin.PortOf[port.Gossip](), plugin.PortOf[port.Recorder]()},
			New:      func() plugin.Plugin { return &fakePorts{net: c.net} },
		},
	}
	for _, d := range plugin.Registered() {
		if d.ID == "profiles" {
			definitions = append(definitions, d)
		}
	}
	own := settings.Settings{Node: id, Members: c.net.members, DataDir: filepath.Join(c.dir, string(id))}
	if c.customize != nil {
		own = c.customize(own)
	}
	host, err := plugin.NewHost(own, slog.New(slog.DiscardHandler), definitions)
	if err == nil {
		err = host.Start()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	c.hosts[id] = host
}

func (c *cluster) stop(id model.NodeID) {
	c.t.Helper()
	c.net.mu.Lock()
	delete(c.net.handlers, id)
	c.net.mu.Unlock()
	if err := c.hosts[id].Stop(); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) stopAll() {
	for i := range c.net.members {
		c.stop(node(i))
	}
}

func (c *cluster) register(id model.NodeID) port.ProfileRegister {
	register, err := plugin.Lookup[port.ProfileRegister](c.hosts[id])
	if err != nil {
		c.t.Fatal(err)
	}
	return register
}

func (c *cluster) current(id model.NodeID) (model.ProfileSet, bool) {
	profiles, err := plugin.Lookup[port.Profiles](c.hosts[id])
	if err != nil {
		c.t.Fatal(err)
	}
	return profiles.Current()
}

// awaitRevision waits until a revision of at least this number is in force at the member.
func (c *cluster) awaitRevision(id model.NodeID, revision model.Revision) {
	for {
		changed := c.register(id).Changed()
		if set, ok := c.current(id); ok && set.Revision >= revision {
			return
		}
		<-changed
	}
}

// awaitVoter waits until the member is a replica that votes.
func (c *cluster) awaitVoter(id model.NodeID) {
	for c.register(id).Replica() != port.ReplicaVoter {
		time.Sleep(10 * time.Millisecond) // On the virtual clock.
	}
}

// putProfile submits an edit that puts a profile; key is the edit's ID.
func (c *cluster) putProfile(id model.NodeID, key string, expect model.Revision) model.EditResult {
	edit := model.ProfileEdit{
		ID: key, Expect: expect, Operator: "ana", Kind: model.PutProfile, Name: "finder", Profile: model.BuiltInProfile(),
	}
	return c.register(id).Edit(c.t.Context(), edit)
}

func editDone(revision model.Revision) model.EditResult {
	return model.EditResult{Status: model.EditDone, Revision: revision}
}

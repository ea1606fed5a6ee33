package profiles

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

const oneWay = 1500 * time.Microsecond // Between data centres.

// network carries calls between the members of one test, encoded as between processes.
type network struct {
	mu       sync.Mutex
	members  []settings.Member
	handlers map[model.NodeID]map[string]port.Handler
	side     map[model.NodeID]int  // Of the cut.
	gone     map[model.NodeID]bool // Not thought alive.
	gossip   map[string]map[model.NodeID][]byte
	hear     map[string]map[model.NodeID]func(model.NodeID, []byte)
	calls    int
	bytes    int
}

func (n *network) cut(nodes ...model.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.side = make(map[model.NodeID]int)
	for _, node := range nodes {
		n.side[node] = 1
	}
}

// reach returns the handler of a method at a node, nil when a cut or a stop keeps it away.
func (n *network) reach(from, to model.NodeID, method string, size int) port.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	n.bytes += size
	if n.side[from] != n.side[to] {
		return nil
	}
	return n.handlers[to][method]
}

// peers is port.Peers, port.Membership and port.Gossip of one member.
type peers struct {
	net  *network
	self model.NodeID
}

func (p *peers) Provision(c *plugin.Context) error {
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

func (p *peers) Handle(method string, handler port.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.handlers[p.self][method] = handler
}

func (p *peers) Learn(model.NodeID, string) {}

func (p *peers) Call(ctx context.Context, to model.NodeID, method string, request, reply any) port.Delivery {
	body, err := json.Marshal(request)
	if err != nil {
		return port.NotSent
	}
	handler := p.net.reach(p.self, to, method, len(body))
	if handler == nil {
		<-ctx.Done() // A silent cut.
		return port.Unknown
	}
	time.Sleep(oneWay)
	answer, err := handler(ctx, p.self, func(target any) error {
		return json.NewDecoder(bytes.NewReader(body)).Decode(target)
	})
	if err != nil {
		return port.Unknown
	}
	time.Sleep(oneWay)
	encoded, err := json.Marshal(answer)
	if err != nil || json.Unmarshal(encoded, reply) != nil {
		return port.Unknown
	}
	return port.Delivered
}

func (p *peers) Self() port.Node { return port.Node{ID: p.self} }

func (p *peers) Alive() []port.Node {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	var alive []port.Node
	for _, m := range p.net.members {
		if p.net.side[m.Node] == p.net.side[p.self] && !p.net.gone[m.Node] {
			alive = append(alive, port.Node{ID: m.Node, Disk: m.Disk, Peers: m.Peers})
		}
	}
	return alive
}

func (p *peers) Changed() <-chan struct{} { return nil }
func (p *peers) Leave(context.Context)    {}
func (p *peers) Active() bool             { return false }
func (p *peers) Record(port.RecordedStep) {}

// gossipDelay is how long gossip takes, which travels on the members' own messages.
const gossipDelay = 100 * time.Millisecond

// Publish tells the members of the same side, and those that subscribe later.
func (p *peers) Publish(topic string, value []byte) {
	p.net.mu.Lock()
	var hear []func(model.NodeID, []byte)
	if p.net.gossip[topic] == nil {
		p.net.gossip[topic] = make(map[model.NodeID][]byte)
	}
	p.net.gossip[topic][p.self] = value
	for node, f := range p.net.hear[topic] {
		if node != p.self && p.net.side[node] == p.net.side[p.self] {
			hear = append(hear, f)
		}
	}
	p.net.mu.Unlock()
	time.AfterFunc(gossipDelay, func() {
		for _, f := range hear {
			f(p.self, value)
		}
	})
}

func (p *peers) Subscribe(topic string, f func(model.NodeID, []byte)) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.hear[topic] == nil {
		p.net.hear[topic] = make(map[model.NodeID]func(model.NodeID, []byte))
	}
	p.net.hear[topic][p.self] = f
	for node, value := range p.net.gossip[topic] {
		if node != p.self {
			go f(node, value)
		}
	}
}

// group is members that run inside one test.
type group struct {
	t     *testing.T
	net   *network
	dir   string
	hosts map[model.NodeID]*plugin.Host
	// change, where it is set, replaces the settings of a member before it starts.
	change func(settings.Settings) settings.Settings
}

func startGroup(t *testing.T, replicas, plain int) *group {
	t.Helper()
	return startChanged(t, replicas, plain, nil)
}

func startChanged(t *testing.T, replicas, plain int, change func(settings.Settings) settings.Settings) *group {
	t.Helper()
	g := startUnknown(t, replicas, plain, change)
	for i := range g.net.members {
		g.await(node(i), 0)
	}
	return g
}

// startUnknown starts a group and does not wait for a revision.
func startUnknown(t *testing.T, replicas, plain int, change func(settings.Settings) settings.Settings) *group {
	t.Helper()
	g := &group{t: t, dir: t.TempDir(), hosts: make(map[model.NodeID]*plugin.Host), change: change}
	g.net = &network{
		handlers: make(map[model.NodeID]map[string]port.Handler), gone: make(map[model.NodeID]bool),
		gossip: make(map[string]map[model.NodeID][]byte), hear: make(map[string]map[model.NodeID]func(model.NodeID, []byte)),
	}
	for i := range replicas + plain {
		g.net.members = append(g.net.members, settings.Member{Node: node(i), Disk: i < replicas, Peers: address(i)})
	}
	for i := range g.net.members {
		g.start(node(i))
	}
	return g
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7", i+1) }

func node(i int) model.NodeID { return model.NodeID(fmt.Sprintf("n%d", i)) }

func (g *group) start(id model.NodeID) {
	g.t.Helper()
	definitions := []plugin.Definition{
		{
			ID:       "peers",
			Provides: []plugin.Port{plugin.PortOf[port.Peers](), plugin.PortOf[port.Membership](), plugin.PortOf[port.Gossip](), plugin.PortOf[port.Recorder]()},
			New:      func() plugin.Plugin { return &peers{net: g.net} },
		},
	}
	for _, d := range plugin.Registered() {
		if d.ID == "profiles" {
			definitions = append(definitions, d)
		}
	}
	own := settings.Settings{Node: id, Members: g.net.members, DataDir: filepath.Join(g.dir, string(id))}
	if g.change != nil {
		own = g.change(own)
	}
	host, err := plugin.NewHost(own, slog.New(slog.DiscardHandler), definitions)
	if err == nil {
		err = host.Start()
	}
	if err != nil {
		g.t.Fatal(err)
	}
	g.hosts[id] = host
}

func (g *group) stop(id model.NodeID) {
	g.t.Helper()
	g.net.mu.Lock()
	delete(g.net.handlers, id)
	g.net.mu.Unlock()
	if err := g.hosts[id].Stop(); err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) stopAll() {
	for i := range g.net.members {
		g.stop(node(i))
	}
}

func (g *group) register(id model.NodeID) port.ProfileRegister {
	register, err := plugin.Lookup[port.ProfileRegister](g.hosts[id])
	if err != nil {
		g.t.Fatal(err)
	}
	return register
}

func (g *group) current(id model.NodeID) (model.ProfileSet, bool) {
	profiles, err := plugin.Lookup[port.Profiles](g.hosts[id])
	if err != nil {
		g.t.Fatal(err)
	}
	return profiles.Current()
}

// await waits until the revision is in force at the member.
func (g *group) await(id model.NodeID, revision model.Revision) {
	for {
		changed := g.register(id).Changed()
		if set, ok := g.current(id); ok && set.Revision >= revision {
			return
		}
		<-changed
	}
}

func (g *group) awaitVote(id model.NodeID) {
	for g.register(id).Replica() != port.ReplicaVoter {
		time.Sleep(10 * time.Millisecond) // On the fake clock.
	}
}

func (g *group) put(id model.NodeID, key string, expect model.Revision) model.EditResult {
	edit := model.ProfileEdit{
		ID: key, Expect: expect, Operator: "ana", Kind: model.PutProfile, Name: "finder", Profile: model.BuiltInProfile(),
	}
	return g.register(id).Edit(g.t.Context(), edit)
}

func done(revision model.Revision) model.EditResult {
	return model.EditResult{Status: model.EditDone, Revision: revision}
}

func TestAChangeFromAnyMemberIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := startGroup(t, 3, 6)
		defer g.stopAll()
		for i := range 9 {
			is.Equal(g.put(node(i), fmt.Sprint("k", i), model.Revision(i)), done(model.Revision(i+1)))
		}
		for i := range 9 {
			g.await(node(i), 9)
			is.Equal(len(g.register(node(i)).History()), 9)
		}
		is.Equal(g.put("n5", "k3", 3), done(4)) // A resend gets its first answer.
	})
}

func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := startGroup(t, 3, 0)
		defer g.stopAll()
		var results [3]model.EditResult
		var racing sync.WaitGroup
		for i := range results {
			racing.Go(func() { results[i] = g.put(node(i), fmt.Sprint("k", i), 0) })
		}
		racing.Wait()
		won := 0
		for _, result := range results {
			if result == done(1) {
				won++
				continue
			}
			is.Equal(result, model.EditResult{Status: model.EditStale, Run: model.NotRun, Revision: 1})
		}
		is.Equal(won, 1)
	})
}

func TestAMinorityRefusesTrulyAndCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := startGroup(t, 3, 2)
		defer g.stopAll()
		g.net.cut("n0", "n3")
		refused := model.EditResult{Status: model.EditNoMajority, Run: model.NotRun}
		is.Equal(g.put("n0", "cut", 0), refused)
		is.Equal(g.put("n3", "cut", 0), refused) // Passed on to the one replica on its side.
		is.Equal(g.put("n1", "rest", 0), done(1))
		g.net.cut()
		g.await("n0", 1)
		g.await("n3", 1)
		for _, change := range g.register("n3").History() {
			is.True(change.ID != "cut")
		}
	})
}

func TestReplicasLoseTheirDisksOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := startGroup(t, 3, 1)
		defer g.stopAll()
		is.Equal(g.put("n3", "k", 0), done(1))
		for i := range 3 {
			g.stop(node(i))
			is.NoErr(os.RemoveAll(filepath.Join(g.dir, string(node(i)))))
			g.start(node(i))
			g.awaitVote(node(i))
		}
		is.Equal(g.put("n3", "k", 0), done(1))
		is.Equal(g.put("n0", "next", 1), done(2))
	})
}

func TestAllRestartAfterChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const changes = 300
		g := startGroup(t, 3, 1)
		defer g.stopAll()
		for i := range changes {
			is.Equal(g.put(node(i%4), fmt.Sprint("k", i), model.Revision(i)).Status, model.EditDone)
		}
		g.stopAll()
		for i := range 4 {
			g.start(node(i))
		}
		for i := range 4 {
			g.await(node(i), changes)
		}
		is.Equal(g.put("n3", "next", changes), done(changes+1))
	})
}

func TestADamagedFileIsRepairedFromTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := startGroup(t, 3, 0)
		defer g.stopAll()
		is.Equal(g.put("n0", "k", 0), done(1))
		g.stop("n1")
		path := filepath.Join(g.dir, "n1", folderName, "register.json")
		is.NoErr(os.Truncate(path, 100))
		g.start("n1")
		g.awaitVote("n1")
		g.await("n1", 1)
	})
}

// sent returns the messages and bytes so far.
func (n *network) sent() (calls, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.bytes
}

// TestCostOfAChange counts what a change costs a group of nine once the register is large: it must
// not grow with the register.
func TestCostOfAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const warmUp, changes = 100, 20
		g := startGroup(t, 3, 6)
		defer g.stopAll()
		var before, messagesBefore int
		for i := range warmUp + changes {
			if i == warmUp {
				messagesBefore, before = g.net.sent()
			}
			is.Equal(g.put(node(i%9), fmt.Sprint("k", i), model.Revision(i)).Status, model.EditDone)
			for j := range 9 {
				g.await(node(j), model.Revision(i+1))
			}
		}
		messages, bytes := g.net.sent()
		perChange := (bytes - before) / changes
		t.Logf("a change: %d messages and %d bytes over all members", (messages-messagesBefore)/changes, perChange)
		is.True(perChange < 40_000) // At 700 a day, 5% of the 7 KB a second of one member.
	})
}

// TestIdleCost counts what an idle group of nine sends in a minute.
func TestIdleCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const members, seconds = 9, 60
		g := startGroup(t, 3, members-3)
		defer g.stopAll()
		time.Sleep(seconds * time.Second)
		calls, bytes := g.net.sent()
		perNode := float64(bytes) / members / seconds
		t.Logf("idle: %.2f messages and %.0f bytes a second for each member", float64(calls)/members/seconds, perNode)
		is.True(perNode < 700) // A tenth of the 7 KB a second that control may cost.
	})
}

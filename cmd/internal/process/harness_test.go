package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/relay"
	"redwingpulley/bench/standin"
	"redwingpulley/cmd/internal/ports"
	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/wait"
)

// testTimeout ends a test that would otherwise wait forever.
const testTimeout = 60 * time.Second

// maxStartAttempts limits the attempts to start a cluster. An attempt can fail because another program takes a port
// that was found free before the entry VM listens on it.
const maxStartAttempts = 3

var redwingdPath string // Path of the built program.

// startMutex keeps parallel tests of this package from finding the same free ports.
var startMutex sync.Mutex

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "redwing-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	redwingdPath = filepath.Join(dir, "redwingd")
	out, err := exec.Command("go", "build", "-o", redwingdPath, "redwingpulley/cmd/redwingd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a set of entry VMs that run as processes, and of stand-in endpoints inside the test.
type cluster struct {
	t          testing.TB
	ctx        context.Context
	dir        string
	reserved   ports.Reserved
	members    []settings.Settings
	vms        []*vm
	endpoints  []*standin.Endpoint
	peerRelays map[[2]model.NodeID]*relay.Relay // Relays between members of different data centres, by sender and receiver.
	front      []*relay.Relay                   // Relays between the entry VMs and each endpoint, in the order of endpoints.
}

// vm is one entry VM's process.
type vm struct {
	settings settings.Settings
	file     string
	command  *exec.Cmd
	exited   chan struct{} // Closed once the process has ended.
	log      string
	unread   atomic.Bool   // Whether the process's output is left unread until resume is closed.
	resume   chan struct{} // Closed to read the output again.
}

// clusterConfig describes the entry VMs and endpoints of a cluster.
type clusterConfig struct {
	dataCentres int
	vms         int          // Entry VMs in each data centre.
	endpoints   int          // Endpoints in each data centre.
	slots       int          // Slots of each endpoint.
	log         settings.Log // Settings of the log; the zero value stands for the default.
}

// start starts a cluster that runs until the end of the test.
func start(t testing.TB, s clusterConfig) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout+*extraTime)
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx}
	t.TempDir() // Clean-ups run in reverse order: this registers the removal of temporary folders to run after killAll.
	t.Cleanup(c.killAll)
	c.startMembers(s)
	c.warmUp()
	return c
}

func (c *cluster) startMembers(s clusterConfig) {
	c.t.Helper()
	startMutex.Lock()
	defer startMutex.Unlock()
	var err error
	for range maxStartAttempts {
		c.dir, c.members = c.t.TempDir(), nil
		c.peerRelays = make(map[[2]model.NodeID]*relay.Relay)
		c.reserved = make(ports.Reserved)
		c.makeSettings(s)
		if err = c.launchMembers(); err == nil {
			c.addEndpoints(s)
			return
		}
		c.reserved.ReleaseAll()
		c.killAll()
		c.vms = nil
	}
	c.t.Fatal(err)
}

func (c *cluster) launchMembers() error {
	for i := range c.members {
		v, err := c.tryLaunch(i)
		if err != nil {
			return err
		}
		c.vms = append(c.vms, v)
	}
	return nil
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) makeSettings(s clusterConfig) {
	c.t.Helper()
	var known []settings.Member
	for d := range s.dataCentres {
		for v := range s.vms {
			addresses, err := c.reserved.Reserve(4)
			c.must(err)
			dc := model.DataCentre(fmt.Sprintf("dc%d", d+1))
			node := model.NodeID(fmt.Sprintf("%s-%c", dc, 'a'+v))
			c.members = append(c.members, settings.Settings{
				Node: node, Region: "test", DataCentre: dc, DataDir: filepath.Join(c.dir, string(node)), Log: s.log,
				Listen: settings.Listen{Callers: addresses[0], Endpoints: addresses[1], Operators: addresses[2], Peers: addresses[3]},
			})
			known = append(known, settings.Member{Node: node, DataCentre: dc, Peers: addresses[3], Endpoints: addresses[1], Disk: true})
		}
	}
	for i := range c.members {
		c.members[i].Members = known
		c.members[i].Plugins = map[string]json.RawMessage{"peer.http": c.startRelays(c.members[i], known)}
	}
}

// startRelays starts a relay from own to each member of another data centre, and returns the settings that make own
// use them.
func (c *cluster) startRelays(own settings.Settings, known []settings.Member) json.RawMessage {
	c.t.Helper()
	addresses := make(map[model.NodeID]string)
	for _, other := range known {
		if other.DataCentre == own.DataCentre {
			continue
		}
		r, err := relay.Start(other.Peers, 0)
		c.must(err)
		c.t.Cleanup(r.Close)
		c.peerRelays[[2]model.NodeID{own.Node, other.Node}] = r
		addresses[other.Node] = r.Address()
	}
	raw, err := json.Marshal(map[string]any{"addresses": addresses})
	c.must(err)
	return raw
}

// launch starts the process of a member and returns when it serves.
func (c *cluster) launch(index int) *vm {
	c.t.Helper()
	v, err := c.tryLaunch(index)
	c.must(err)
	return v
}

// tryLaunch is like launch, but returns an error if the process ends before it serves or does not serve in time.
func (c *cluster) tryLaunch(index int) (*vm, error) {
	c.t.Helper()
	own := c.members[index]
	v := &vm{settings: own, file: filepath.Join(c.dir, string(own.Node)+".json"), exited: make(chan struct{}), resume: make(chan struct{})}
	raw, err := json.Marshal(own)
	c.must(err)
	c.must(os.WriteFile(v.file, raw, 0o600))
	v.command = exec.Command(redwingdPath, "run", "--settings", v.file)
	output, err := v.command.StdoutPipe()
	c.must(err)
	v.command.Stderr = v.command.Stdout
	v.log = filepath.Join(c.dir, string(own.Node)+".log")
	log, err := os.OpenFile(v.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	c.must(err)
	c.reserved.Release(own.Listen.Callers, own.Listen.Endpoints, own.Listen.Operators, own.Listen.Peers)
	c.must(v.command.Start())
	serving := make(chan struct{})
	go v.watchOutput(c.t, output, log, serving)
	select {
	case <-serving:
	case <-v.exited:
		return nil, errors.Newf("%s ended before it served:\n%s", own.Node, c.logTail(v))
	case <-c.ctx.Done():
		v.command.Process.Kill()
		return nil, errors.Newf("%s did not serve in time:\n%s", own.Node, c.logTail(v))
	}
	return v, nil
}

// watchOutput copies the process's log to its file and checks each line. It closes serving when the process serves,
// and exited when it has ended.
func (v *vm) watchOutput(t testing.TB, output io.Reader, log *os.File, serving chan struct{}) {
	defer close(v.exited)
	defer log.Close()
	var once sync.Once
	lines := bufio.NewReader(output)
	for {
		if v.unread.Load() {
			<-v.resume
		}
		line, err := lines.ReadBytes('\n')
		log.Write(line)
		if fault := logLineFault(line); fault != "" && err == nil { // The last line of a killed process may be incomplete.
			t.Errorf("%s logs: %s", v.settings.Node, fault)
		}
		if bytes.Contains(line, []byte(`"msg":"`+event.ProcessStarted.Name+`"`)) {
			once.Do(func() { close(serving) })
		}
		if err != nil {
			v.command.Wait()
			return
		}
	}
}

// logLineFault returns what is wrong with a line that a process wrote, or "". Each log line must be of a kind that is
// documented for operators, and have only fields that are documented for that kind.
func logLineFault(line []byte) string {
	if len(line) == 0 || line[0] != '{' {
		return "" // Not a log line.
	}
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return fmt.Sprintf("%v: %s", err, line)
	}
	name, _ := fields["msg"].(string)
	kind := event.Find(name)
	if kind == nil {
		return fmt.Sprintf("unknown kind: %s", line)
	}
	allowed := append([]event.Key{"time", "level", "msg", event.Node, event.Plugin}, kind.Fields...)
	for key := range fields {
		if !slices.Contains(allowed, event.Key(key)) {
			return fmt.Sprintf("field %s is not described: %s", key, line)
		}
	}
	return ""
}

func TestLogLineFaultReportsUndescribedLines(t *testing.T) {
	is := is.New(t)
	is.Equal(logLineFault([]byte(`{"msg":"ready","node":"a"}`)), "")
	is.Equal(logLineFault([]byte("panic: x")), "")
	is.True(logLineFault([]byte(`{"msg":"ready","node":"a","why":"b"}`)) != "") // A field that ready does not have.
	is.True(logLineFault([]byte(`{"msg":"hello"}`)) != "")
	is.True(logLineFault([]byte(`{"msg":`)) != "")
}

func (c *cluster) logTail(v *vm) []byte {
	const kept = 4000
	raw, _ := os.ReadFile(v.log) // After an error, what was read is shown.
	return raw[max(0, len(raw)-kept):]
}

func (c *cluster) addEndpoints(s clusterConfig) {
	c.t.Helper()
	for d := range s.dataCentres {
		dc := fmt.Sprintf("dc%d", d+1)
		for e := range s.endpoints {
			c.addEndpoint(fmt.Sprintf("%s-e%d", dc, e+1), dc, s.slots)
		}
	}
	for _, e := range c.endpoints {
		select {
		case <-e.Announced():
		case <-c.ctx.Done():
			c.t.Fatalf("endpoint %s was not accepted", e.ID())
		}
	}
}

// addEndpoint starts a stand-in endpoint that is reached through a relay.
func (c *cluster) addEndpoint(id, dc string, slots int) {
	c.t.Helper()
	var entries []string
	for _, m := range c.members {
		if string(m.DataCentre) == dc {
			entries = append(entries, m.Listen.Endpoints)
		}
	}
	reserved := make(ports.Reserved)
	addresses, err := reserved.Reserve(1)
	c.must(err)
	defer reserved.ReleaseAll()
	listen := addresses[0]
	front, err := relay.Start(listen, 0)
	c.must(err)
	reserved.Release(listen)
	e, err := standin.Start(standin.Config{
		Endpoint: id, Service: "finder", Worker: id, Rack: "r1", DataCentre: dc, Listen: listen,
		Advertise: front.Address(), Slots: slots, Entries: entries,
	})
	c.must(err)
	c.t.Cleanup(func() { e.Close(); front.Close() })
	c.endpoints = append(c.endpoints, e)
	c.front = append(c.front, front)
}

// warmUp waits until each entry VM has completed a job. It submits a new job after each one that was not run.
func (c *cluster) warmUp() {
	c.t.Helper()
	for _, m := range c.members {
		client := caller.New([]string{m.Listen.Callers}, 0, 0)
		for {
			result := client.Submit(c.ctx, 0, newJob(1, 1))
			if result.Outcome == caller.Complete {
				break
			}
			if c.ctx.Err() != nil {
				c.t.Fatalf("%s did not complete a job: %s %s", m.Node, result.Outcome, result.Reason)
			}
			wait.For(c.ctx, max(result.RetryAfter, 100*time.Millisecond))
		}
		client.Close()
	}
}

// newJob returns a job whose tasks each run for ms milliseconds.
func newJob(tasks int, ms int64) caller.Job {
	j := caller.Job{Service: "finder", Team: "t1", DeadlineMS: 5000}
	for range tasks {
		raw, _ := json.Marshal(standin.Payload{SleepMS: ms}) // Can't fail: the payload is numbers.
		j.Tasks = append(j.Tasks, caller.Task{Payload: raw, RunMS: ms})
	}
	return j
}

// entries returns the addresses of all entry VMs' listeners for callers.
func (c *cluster) entries() []string {
	var all []string
	for _, m := range c.members {
		all = append(all, m.Listen.Callers)
	}
	return all
}

func (c *cluster) logs() []standin.Log {
	var logs []standin.Log
	for _, e := range c.endpoints {
		logs = append(logs, e.Log())
	}
	return logs
}

// signal sends a signal to the process of one entry VM.
func (c *cluster) signal(index int, signal syscall.Signal) {
	c.t.Helper()
	c.must(c.vms[index].command.Process.Signal(signal))
}

// kill kills a process and waits for its end.
func (c *cluster) kill(index int) {
	c.t.Helper()
	c.signal(index, syscall.SIGKILL)
	<-c.vms[index].exited
}

func (c *cluster) killAll() {
	for _, v := range c.vms {
		v.command.Process.Signal(syscall.SIGCONT) // Signal and Kill fail on a process that has ended.
		v.command.Process.Kill()
		<-v.exited
	}
}

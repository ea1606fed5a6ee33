package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/bench/standin"
	"redwingpulley/cmd/internal/ports"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

// testCluster is a few entry VMs of one data centre, all in this process, with one stand-in endpoint.
type testCluster struct {
	t        *testing.T
	members  []settings.Settings
	hosts    []*plugin.Host
	reserved ports.Reserved
}

func (c *testCluster) freeAddress() string {
	c.t.Helper()
	addresses, err := c.reserved.Reserve(1)
	if err != nil {
		c.t.Fatal(err)
	}
	return addresses[0]
}

func startCluster(t *testing.T, count, slots int) *testCluster {
	t.Helper()
	c := startMembers(t, count)
	c.startEndpoint(slots)
	return c
}

// startMembers starts a cluster without an endpoint.
func startMembers(t *testing.T, count int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, reserved: make(ports.Reserved)}
	t.Cleanup(c.reserved.ReleaseAll)
	var members []settings.Member
	for i := range count {
		members = append(members, settings.Member{
			Node: model.NodeID(fmt.Sprintf("sj1-%c", 'a'+i)), DataCentre: "sj1",
			Peers: c.freeAddress(), Endpoints: c.freeAddress(),
		})
	}
	for _, m := range members {
		c.startMember(settings.Settings{
			Node: m.Node, DataCentre: m.DataCentre, Members: members,
			Listen: settings.Listen{Callers: c.freeAddress(), Operators: c.freeAddress(), Endpoints: m.Endpoints, Peers: m.Peers},
			Plugins: map[string]json.RawMessage{
				"frontend.callers": json.RawMessage(`{"drain_grace_ms":50}`),
			},
		})
	}
	return c
}

func (c *testCluster) startMember(s settings.Settings) {
	c.reserved.Release(s.Listen.Callers, s.Listen.Endpoints, s.Listen.Operators, s.Listen.Peers)
	host, err := Start(s, slog.New(slog.DiscardHandler))
	if err != nil {
		c.t.Fatal(err)
	}
	c.members, c.hosts = append(c.members, s), append(c.hosts, host)
	c.t.Cleanup(func() { host.Stop() })
}

func (c *testCluster) startEndpoint(slots int) {
	var entries []string
	for _, m := range c.members[0].Members {
		entries = append(entries, m.Endpoints)
	}
	e, err := standin.Start(standin.Config{
		Endpoint: "e1", Service: "finder", Worker: "w1", Rack: "r1", DataCentre: "sj1",
		Listen: "127.0.0.1:0", Slots: slots, Entries: entries,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(e.Close)
}

// reply is the response to a caller's request: its status and its decoded body.
type reply struct {
	Status  int
	JobID   string            `json:"job_id"`
	Outcome string            `json:"outcome"`
	Run     string            `json:"run"`
	Reason  string            `json:"reason"`
	Answers []json.RawMessage `json:"answers"`
	JobIDs  []string          `json:"job_ids"`
}

func (c *testCluster) call(member int, method, path, body string) reply {
	c.t.Helper()
	request, err := http.NewRequest(method, "http://"+c.members[member].Listen.Callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	r := reply{Status: response.StatusCode}
	if err := json.Unmarshal(raw, &r); err != nil {
		c.t.Fatalf("%s: %v", raw, err)
	}
	r.Status = response.StatusCode
	return r
}

func (c *testCluster) ticket(member int) string {
	return c.call(member, "POST", "/v1/tickets", `{"count":1}`).JobIDs[0]
}

func jobBody(id string, tasks int, sleepMS int) string {
	var list []map[string]any
	for range tasks {
		list = append(list, map[string]any{"payload": map[string]any{"sleep_ms": sleepMS}})
	}
	body := map[string]any{"service": "finder", "team": "t1", "deadline_ms": 20000, "tasks": list}
	if id != "" {
		body["job_id"] = id
	}
	raw, _ := json.Marshal(body) // Can't fail: the values are strings, numbers and maps.
	return string(raw)
}

// awaitReady waits until a job has succeeded at each member.
func (c *testCluster) awaitReady() {
	c.t.Helper()
	for i := range c.members {
		for c.call(i, "POST", "/v1/jobs", jobBody("", 1, 0)).Status != http.StatusOK {
			<-time.After(20 * time.Millisecond)
		}
	}
}

// awaitAgreement waits until all members have the same view of each other, so that they agree on the owner of the pool.
func (c *testCluster) awaitAgreement() {
	c.t.Helper()
	var members []port.Membership
	for _, host := range c.hosts {
		m, err := plugin.Lookup[port.Membership](host)
		if err != nil {
			c.t.Fatal(err)
		}
		members = append(members, m)
	}
	differs := func(m port.Membership) bool { return !slices.Equal(m.Alive(), members[0].Alive()) }
	for len(members[0].Alive()) != len(members) || slices.ContainsFunc(members, differs) {
		<-time.After(time.Millisecond)
	}
}

func TestResendsAndLookupsAtAnyMemberFindTheSameJob(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3, 8)
	c.awaitReady()
	id := c.ticket(0)
	replies := make(chan reply)
	for member := range c.members {
		go func() { replies <- c.call(member, "POST", "/v1/jobs", jobBody(id, 4, 100)) }()
	}
	var first reply
	for range c.members {
		r := <-replies
		is.Equal(r.Status, http.StatusOK)
		is.Equal(len(r.Answers), 4)
		if first.Status == 0 {
			first = r
		}
		is.Equal(r, first)
	}
	for member := range c.members {
		is.Equal(c.call(member, "GET", "/v1/jobs/"+id, ""), first) // A lookup without wait_ms.
	}
	is.Equal(c.call(1, "POST", "/v1/jobs", jobBody(id, 5, 100)).Status, http.StatusConflict)
}

// sumCounters returns the named counters, summed over the members.
func (c *testCluster) sumCounters(names ...string) map[string]int64 {
	sums := make(map[string]int64)
	for _, host := range c.hosts {
		for _, name := range names {
			sums[name] += metrics.GetOrRegisterCounter(name, host.Metrics).Count()
		}
	}
	return sums
}

func TestJobsWithoutFaultsTakeNoExtraMessages(t *testing.T) {
	is := is.New(t)
	c := startMembers(t, 3)
	// Otherwise the pool may move between awaitReady and the jobs that are counted. This costs a message, and a member's first batch to an
	// owner is refused as outdated and sent again, since the member does not know the owner's clock yet.
	c.awaitAgreement()
	c.startEndpoint(8)
	c.awaitReady()
	names := []string{
		"tasks.starts", "messages.task.requests", "messages.task.replies", "messages.task.revokes",
		"messages.peer.requests", "messages.peer.replies", "messages.wasted",
	}
	before := c.sumCounters(names...)
	const jobs, tasks = 30, 4
	for i := range jobs {
		is.Equal(c.call(i%3, "POST", "/v1/jobs", jobBody("", tasks, 1)).Status, http.StatusOK)
	}
	spent := c.sumCounters(names...)
	for name := range spent {
		spent[name] -= before[name]
	}
	is.Equal(spent, map[string]int64{
		"tasks.starts": jobs * tasks, "messages.task.requests": jobs * tasks, "messages.task.replies": jobs * tasks,
		"messages.task.revokes": 0, "messages.wasted": 0,
		// The pool's owner starts the tasks of its own third of the jobs itself. The other members send it one
		// batch for each of their jobs.
		"messages.peer.requests": jobs * 2 / 3, "messages.peer.replies": jobs * 2 / 3,
	})
}

// startJob submits a job of one task to the first member and returns once the second one reports that it is running.
func (c *testCluster) startJob(sleepMS int) (id string, done chan reply) {
	id, done = c.ticket(0), make(chan reply)
	go func() { done <- c.call(0, "POST", "/v1/jobs", jobBody(id, 1, sleepMS)) }()
	for c.call(1, "GET", "/v1/jobs/"+id, "").Status != http.StatusAccepted {
		<-time.After(5 * time.Millisecond)
	}
	return id, done
}

func TestLookupWithoutWaitReportsARunningJob(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2, 8)
	c.awaitReady()
	id, done := c.startJob(300)
	is.Equal(c.call(1, "GET", "/v1/jobs/"+id+"?wait_ms=20000", "").Outcome, "complete")
	is.Equal((<-done).Outcome, "complete")
}

func TestCancelAtAnotherMemberEndsTheJob(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2, 8)
	c.awaitReady()
	id, done := c.startJob(15000)
	is.Equal(c.call(1, "DELETE", "/v1/jobs/"+id, "").Reason, "cancelled")
	is.Equal((<-done).Reason, "cancelled")
}

func TestJobContinuesWhenItsCallerDisconnects(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2, 8)
	c.awaitReady()
	id := c.ticket(0)
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.members[0].Listen.Callers+"/v1/jobs", bytes.NewReader([]byte(jobBody(id, 2, 200))))
	is.NoErr(err)
	requestErr := make(chan error)
	go func() {
		_, err := http.DefaultClient.Do(request)
		requestErr <- err
	}()
	for c.call(1, "GET", "/v1/jobs/"+id, "").Status != http.StatusAccepted {
		<-time.After(5 * time.Millisecond)
	}
	disconnect()
	is.True(<-requestErr != nil)
	is.Equal(len(c.call(1, "POST", "/v1/jobs", jobBody(id, 2, 200)).Answers), 2)
}

func TestDrainCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3, 8)
	c.awaitReady()
	done := make(chan reply)
	for member := range c.members {
		go func() { done <- c.call(member, "POST", "/v1/jobs", jobBody("", 2, 400)) }()
	}
	id := c.ticket(2)
	go func() { done <- c.call(1, "POST", "/v1/jobs", jobBody(id, 1, 400)) }()
	for c.call(0, "GET", "/v1/jobs/"+id, "").Status != http.StatusAccepted {
		<-time.After(5 * time.Millisecond)
	}
	stopped := make(chan error)
	for _, host := range c.hosts {
		go func() { stopped <- Stop(context.Background(), host) }()
	}
	for range len(c.members) + 1 {
		is.Equal((<-done).Outcome, "complete")
	}
	for range c.hosts {
		is.NoErr(<-stopped)
	}
}

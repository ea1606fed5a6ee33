package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
	"redwingpulley/cmd/internal/group"
	"redwingpulley/cmd/internal/node"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/record/file"
)

var recordAnew = flag.Bool("record", false, "make the shipped record anew")

func policies(t *testing.T) poolstate.Policies {
	t.Helper()
	all, err := node.Policies(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func read(t *testing.T, path string) []file.Line {
	t.Helper()
	record, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer record.Close()
	lines, err := Read(record)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// record plays jobs against one entry VM, with an endpoint that refuses and one that fails, and
// returns the record of its decisions.
func record(t *testing.T) string {
	t.Helper()
	config := group.Config{
		Region: "test", DataCentres: []group.DataCentre{{Name: "dc1", VMs: 1, Endpoints: 4}},
		Services: []string{"finder"}, Slots: 2, DataDir: t.TempDir(), Record: t.TempDir(), Log: slog.New(slog.DiscardHandler),
	}
	g, err := group.Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	g.Endpoints[0].Behave(standin.Behaviour{RefuseShare: 0.3})
	g.Endpoints[1].Behave(standin.Behaviour{FailShare: 0.1})
	jobs := trace.Generate(trace.Workload{
		Service: "finder", Seed: 3, Length: time.Second, Slots: 8, Load: 1.5, Teams: 2, Largest: 4,
		Deadline: 500 * time.Millisecond, DeclaredError: 10,
		Waves: []trace.Wave{{At: 0, Length: time.Second, Share: 0.2}},
	})
	client := caller.New(g.Entries(), 0, 0)
	defer client.Close()
	if _, err := (load.Runner{Client: client, Tickets: true}).Run(context.Background(), jobs); err != nil {
		t.Fatal(err)
	}
	if err := g.Stop(); err != nil {
		t.Fatal(err)
	}
	return config.RecordFile(g.Settings()[0].Node)
}

func TestReplayDecidesAsRecorded(t *testing.T) {
	is := is.New(t)
	lines := read(t, record(t))
	outcome, err := Run(lines, policies(t))
	is.NoErr(err)
	is.NoErr(outcome.Fault())
	is.Equal(len(outcome.Gaps), 0)
	is.True(outcome.Jobs > 0)
	is.True(outcome.Starts > 0)
	is.True(outcome.Complete > 0)

	// An event that is not what the machine was told makes it decide otherwise.
	for i := range lines {
		if lines[i].Event == "Submitted" {
			lines[i].Body = bytes.Replace(lines[i].Body, []byte(`"Tasks":[`), []byte(`"Tasks":[{"Index":150},`), 1)
		}
	}
	changed, err := Run(lines, policies(t))
	is.NoErr(err)
	is.True(changed.Fault() != nil)
}

const (
	shippedRecord  = "testdata/refusals.events.jsonl"
	shippedOutcome = "testdata/refusals.outcome.json"
)

// TestShippedRecord replays a record whose outcome is stated beside it: jobs at one and a half times
// the capacity, an endpoint that refuses, one that fails, and cancellations. After a wanted change
// of policy, record anew with -record and state the new outcome in the change's commit.
func TestShippedRecord(t *testing.T) {
	is := is.New(t)
	if *recordAnew {
		rewrite(t)
	}
	raw, err := os.ReadFile(shippedOutcome)
	is.NoErr(err)
	var stated Outcome
	is.NoErr(json.Unmarshal(raw, &stated))
	outcome, err := Run(read(t, shippedRecord), policies(t))
	is.NoErr(err)
	is.NoErr(outcome.Fault())
	is.Equal(outcome, stated)
}

// rewrite makes the shipped record and its outcome anew.
func rewrite(t *testing.T) {
	t.Helper()
	is := is.New(t)
	raw, err := os.ReadFile(record(t))
	is.NoErr(err)
	is.NoErr(os.MkdirAll(filepath.Dir(shippedRecord), 0o755))
	is.NoErr(os.WriteFile(shippedRecord, raw, 0o644))
	outcome, err := Run(read(t, shippedRecord), policies(t))
	is.NoErr(err)
	stated, err := json.MarshalIndent(outcome, "", "  ")
	is.NoErr(err)
	is.NoErr(os.WriteFile(shippedOutcome, append(stated, '\n'), 0o644))
}

func TestReplayFindsASecondStart(t *testing.T) {
	is := is.New(t)
	settled := Outcome{}
	p := poolStepper{outcome: &settled, open: make(map[model.TaskID]int)}
	p.begun(poolstate.Start{Task: "j.0", Attempt: 1})
	p.settle(poolstate.Replied{Task: "j.0", Attempt: 1, Reply: port.TaskReply{State: port.TaskUnknown}})
	p.begun(poolstate.Start{Task: "j.0", Attempt: 2})
	is.Equal(settled.Repeated, []string{"j.0"})
	p.settle(poolstate.RevokeReplied{Task: "j.0", Attempt: 2, Reply: port.RevokeReply{State: port.TaskRevoked}})
	p.begun(poolstate.Start{Task: "j.0", Attempt: 3})
	is.Equal(len(settled.Repeated), 1)
}

func TestReadPassesOverATornEnd(t *testing.T) {
	is := is.New(t)
	whole, err := json.Marshal(file.Line{Machine: "pool", Event: "Created"})
	is.NoErr(err)
	lines, err := Read(strings.NewReader(string(whole) + "\n" + string(whole[:20])))
	is.NoErr(err)
	is.Equal(len(lines), 1)
	_, err = Read(strings.NewReader(string(whole[:20]) + "\n" + string(whole)))
	is.True(err != nil) // Only the end can be torn.
}

func TestGapsEndAMachinesReplay(t *testing.T) {
	is := is.New(t)
	created, err := json.Marshal(poolstate.Created{})
	is.NoErr(err)
	outcome, err := Run([]file.Line{
		{Machine: "pool", Key: "k", Sequence: 0, Event: "Created", Body: created},
		{Machine: "pool", Key: "k", Sequence: 2, Event: "Elapsed", Body: []byte("{}")},
	}, policies(t))
	is.NoErr(err)
	is.Equal(outcome.Gaps, []string{"k"})
	is.Equal(outcome.Steps, 0)
}

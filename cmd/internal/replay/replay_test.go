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

var regenerate = flag.Bool("record", false, "regenerate the shipped record")

func linkedPolicies(t *testing.T) poolstate.Policies {
	t.Helper()
	all, err := node.Policies(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func readRecord(t *testing.T, path string) []file.Line {
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

// recordJobs submits jobs to one entry VM, with one endpoint that refuses and one that fails tasks, and returns
// the path of the record of its decisions.
func recordJobs(t *testing.T) string {
	t.Helper()
	config := group.Config{
		Region: "test", DataCentres: []group.DataCentre{{Name: "dc1", VMs: 1, Endpoints: 4}},
		Services: []string{"finder"}, Slots: 2, DataDir: t.TempDir(), Record: t.TempDir(), Log: slog.New(slog.DiscardHandler),
	}
	g, err := group.Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	g.Endpoints[0].SetBehaviour(standin.Behaviour{RefuseShare: 0.3})
	g.Endpoints[1].SetBehaviour(standin.Behaviour{FailShare: 0.1})
	jobs := trace.Generate(trace.Workload{
		Service: "finder", Seed: 3, Length: time.Second, Slots: 8, Load: 1.5, Teams: 2, Largest: 4,
		Deadline: 500 * time.Millisecond, DeclaredError: 10,
		CancelWaves: []trace.CancelWave{{At: 0, Length: time.Second, Share: 0.2}},
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

func TestReplayMatchesTheRecord(t *testing.T) {
	is := is.New(t)
	lines := readRecord(t, recordJobs(t))
	outcome, err := Run(lines, linkedPolicies(t))
	is.NoErr(err)
	is.NoErr(outcome.Err())
	is.Equal(len(outcome.Gaps), 0)
	is.True(outcome.Jobs > 0)
	is.True(outcome.Starts > 0)
	is.True(outcome.Complete > 0)

	// A machine that is given another event than the recorded one decides otherwise.
	for i := range lines {
		if lines[i].Event == "Submitted" {
			lines[i].Body = bytes.Replace(lines[i].Body, []byte(`"Tasks":[`), []byte(`"Tasks":[{"Index":150},`), 1)
		}
	}
	changed, err := Run(lines, linkedPolicies(t))
	is.NoErr(err)
	is.True(changed.Err() != nil)
}

const (
	shippedRecord  = "testdata/refusals.events.jsonl"
	shippedOutcome = "testdata/refusals.outcome.json"
)

// TestShippedRecordReplaysToItsStatedOutcome replays a record whose expected outcome is stored beside it: jobs at
// one and a half times the capacity, an endpoint that refuses, one that fails, and cancellations. After an
// intended change of policy, regenerate both files with -record and state the new outcome in that commit.
func TestShippedRecordReplaysToItsStatedOutcome(t *testing.T) {
	is := is.New(t)
	if *regenerate {
		regenerateRecord(t)
	}
	raw, err := os.ReadFile(shippedOutcome)
	is.NoErr(err)
	var want Outcome
	is.NoErr(json.Unmarshal(raw, &want))
	outcome, err := Run(readRecord(t, shippedRecord), linkedPolicies(t))
	is.NoErr(err)
	is.NoErr(outcome.Err())
	is.Equal(outcome, want)
}

// regenerateRecord writes the shipped record and its outcome again.
func regenerateRecord(t *testing.T) {
	t.Helper()
	is := is.New(t)
	raw, err := os.ReadFile(recordJobs(t))
	is.NoErr(err)
	is.NoErr(os.MkdirAll(filepath.Dir(shippedRecord), 0o755))
	is.NoErr(os.WriteFile(shippedRecord, raw, 0o644))
	outcome, err := Run(readRecord(t, shippedRecord), linkedPolicies(t))
	is.NoErr(err)
	stated, err := json.MarshalIndent(outcome, "", "  ")
	is.NoErr(err)
	is.NoErr(os.WriteFile(shippedOutcome, append(stated, '\n'), 0o644))
}

func TestReplayReportsRepeatedStarts(t *testing.T) {
	is := is.New(t)
	result := Outcome{}
	p := poolStepper{outcome: &result, inFlight: make(map[model.TaskID]int)}
	p.recordStart(poolstate.Start{Task: "j.0", Attempt: 1})
	p.recordEnd(poolstate.Replied{Task: "j.0", Attempt: 1, Reply: port.TaskReply{State: port.TaskUnknown}})
	p.recordStart(poolstate.Start{Task: "j.0", Attempt: 2})
	is.Equal(result.Repeated, []string{"j.0"})
	p.recordEnd(poolstate.RevokeReplied{Task: "j.0", Attempt: 2, Reply: port.RevokeReply{State: port.TaskRevoked}})
	p.recordStart(poolstate.Start{Task: "j.0", Attempt: 3})
	is.Equal(len(result.Repeated), 1)
}

func TestReadSkipsATornLastLine(t *testing.T) {
	is := is.New(t)
	encoded, err := json.Marshal(file.Line{Machine: "pool", Event: "Created"})
	is.NoErr(err)
	lines, err := Read(strings.NewReader(string(encoded) + "\n" + string(encoded[:20])))
	is.NoErr(err)
	is.Equal(len(lines), 1)
	_, err = Read(strings.NewReader(string(encoded[:20]) + "\n" + string(encoded)))
	is.True(err != nil) // Only the last line may be incomplete.
}

func TestReplayOfAMachineStopsAtAGap(t *testing.T) {
	is := is.New(t)
	created, err := json.Marshal(poolstate.Created{})
	is.NoErr(err)
	outcome, err := Run([]file.Line{
		{Machine: "pool", Key: "k", Sequence: 0, Event: "Created", Body: created},
		{Machine: "pool", Key: "k", Sequence: 2, Event: "Elapsed", Body: []byte("{}")},
	}, linkedPolicies(t))
	is.NoErr(err)
	is.Equal(outcome.Gaps, []string{"k"})
	is.Equal(outcome.Steps, 0)
}

package wire

import (
	"encoding/json"
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
)

// FuzzMessage has a replica that votes and serves, one that starts with a lost disk and a member without a place handle
// any message that another member can send. None may panic: one malformed message must not end a process. For longer:
// go test ./plugins/profiles/wire -run xxx -fuzz FuzzMessage -fuzztime 2m
func FuzzMessage(f *testing.F) {
	state := largeState()
	store := register.Store{Number: 1, Nonce: 2, Node: "B"}
	ballot := register.Ballot{Round: 3, Node: "b", Run: 4}
	for _, kind := range []register.MessageKind{
		register.Prepare, register.Promise, register.Accept, register.Accepted, register.Rejected, register.Join, register.Joined,
		register.NeedValue, register.Fetch, register.Chosen, register.Confirm, register.Confirmed,
	} {
		message := register.Message{
			Kind: kind, Ballot: ballot, Run: 1, Store: store, Votes: 2, Fences: map[model.NodeID]register.Store{"b": store},
			Accepted: ballot, Delta: &register.Delta{Change: state.History[1], Routing: state.Set.Routing}, Voting: true, Revision: 3,
		}
		raw, err := json.Marshal(EncodeMessage(message, "c", 1))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(`{"kind":"chosen","value":{"revision":1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var message Message
		if json.Unmarshal(raw, &message) != nil {
			return
		}
		now := time.Unix(0, 0)
		for _, m := range fuzzedMachines(now) {
			for range 2 {
				m.Step(now, register.Received{From: "b", Message: message.Decode()})
			}
			m.Step(now.Add(time.Minute), register.Woken{})
		}
	})
}

// fuzzedMachines returns machines in states in which they handle messages differently.
func fuzzedMachines(now time.Time) []*register.Machine {
	replicas := []model.NodeID{"a", "b", "c"}
	store := register.Store{Number: 1, Nonce: 1, Node: "A"}
	voter := register.New(register.Config{Self: "a", Node: "A", Replicas: replicas, Seed: 1}, &register.Durable{
		Store: store, Voting: true, Value: register.Initial(), Chosen: register.Initial(), Fences: map[model.NodeID]register.Store{"a": store},
	})
	starting := register.New(register.Config{Self: "a", Node: "A", Replicas: replicas, Seed: 1}, nil)
	placeless := register.New(register.Config{Self: "D", Node: "D", Replicas: replicas, Seed: 1}, nil)
	for _, m := range []*register.Machine{voter, starting, placeless} {
		m.Step(now, register.Woken{})
	}
	voter.Step(now, register.Received{From: "b", Message: register.Message{Kind: register.Joined, Run: 1, Store: store, Fences: map[model.NodeID]register.Store{"a": store}}})
	voter.Step(now, register.Submitted{Ticket: 1, Edit: model.ProfileEdit{ID: "x", Kind: model.PutProfile, Name: "p"}, Deadline: now.Add(time.Second)})
	return []*register.Machine{voter, starting, placeless}
}

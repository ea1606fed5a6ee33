package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
)

// largeState returns a state of the largest size that the register is designed for: 20 profiles with
// quotas for 55 teams each, and a full history.
func largeState() register.State {
	state := register.Initial()
	for i := range 20 {
		p := model.BuiltInProfile()
		p.Name = model.ProfileName(fmt.Sprint("profile-", i))
		p.Quotas = make(map[model.TeamID]float64)
		for team := range 55 {
			p.Quotas[model.TeamID(fmt.Sprint("team-", team))] = 800
		}
		state.Set.Profiles[p.Name] = p
		state.Set.Services[model.ServiceID(fmt.Sprint("service-", i))] = p.Name
	}
	for i := range register.KeptChanges {
		state.History = append(state.History, model.ProfileChange{
			Revision: model.Revision(i + 1), ID: fmt.Sprintf("%026d", i), Digest: 1 << 62, Operator: "operator",
			At: time.Unix(1_800_000_000, 123).UTC(), Kind: string(model.PutProfile), Profile: "profile-1",
		})
	}
	state.Set.Revision = register.KeptChanges
	state.Set.Routing = &model.Routing{
		Version: 7, MaxBody: 1 << 18, Document: []byte("{}"),
		Routes: []model.Route{{
			Name: "r", Host: "h", PathPrefix: "/p/", Service: "finder", Timeout: time.Second,
			MaxFailures: 4, Objective: model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3}, Priority: 2,
		}},
		Services: []model.ServiceID{"finder"},
	}
	state.Set.Evacuations = map[model.DataCentre]model.Evacuation{"sj1": {Active: true, Changed: 9}, "sj2": {Changed: 8}}
	state.History[9].Kind, state.History[9].DataCentre = string(model.Evacuate), "sj1"
	return state
}

func TestDecode_ReturnsWhatWasEncoded(t *testing.T) {
	is := is.New(t)
	state := largeState()
	ballot := register.Ballot{Round: 1 << 60, Node: "a", Run: 1<<64 - 1}
	stores := map[model.NodeID]register.Store{"a": {Number: 2, Nonce: 1<<64 - 1}}
	sent := register.Message{
		Kind: register.Joined, Ballot: ballot, Run: 3, Store: stores["a"], Votes: 4, Fences: stores,
		Seen: map[model.NodeID]uint64{"a": 5}, Accepted: ballot, Value: &state,
		Base: ballot, Delta: &register.Delta{Change: state.History[1], Profile: state.Set.Profiles["profile-1"], Routing: state.Set.Routing}, Takes: stores["a"], Former: stores["a"], Copied: true, Voting: true, Empty: true,
		Promised: ballot, Chosen: &state, Revision: 6, Pending: 7, Serving: true,
	}
	raw, err := json.Marshal(EncodeMessage(sent, "c", 1))
	is.NoErr(err)
	var received Message
	is.NoErr(json.Unmarshal(raw, &received))
	is.Equal(received.Decode(), sent)

	kept := register.Durable{
		Store: stores["a"], Voting: true, Copied: true, Votes: 4, Promised: ballot, Accepted: ballot,
		Value: state, Chosen: state, Fences: stores, Seen: sent.Seen,
		Former: stores, Takes: stores["a"], Released: true,
	}
	var encoder DurableEncoder
	encoded, err := encoder.Encode(kept)
	is.NoErr(err)
	raw, err = json.Marshal(encoded)
	is.NoErr(err)
	var loaded Durable
	is.NoErr(json.Unmarshal(raw, &loaded))
	decoded, ok := loaded.Decode()
	is.True(ok)
	is.Equal(decoded, kept)
}

func BenchmarkEncodeState(b *testing.B) {
	state := largeState()
	var raw []byte
	for b.Loop() {
		raw, _ = json.Marshal(EncodeState(&state))
	}
	b.ReportMetric(float64(len(raw)), "bytes")
}

// A vote that leaves the states as they are encodes none of them again; a state that changed is encoded.
func TestDurableEncoder_EncodesEachStateOnce(t *testing.T) {
	is := is.New(t)
	state := largeState()
	next := state
	next.History = slices.Clone(state.History[1:])
	next.History = append(next.History, model.ProfileChange{Revision: register.KeptChanges + 1, ID: "next"})
	next.Set.Revision++
	var encoder DurableEncoder
	first, err := encoder.Encode(register.Durable{Value: state, Chosen: state})
	is.NoErr(err)
	is.True(&first.Value[0] == &first.Chosen[0])
	second, err := encoder.Encode(register.Durable{Votes: 1, Value: next, Chosen: state})
	is.NoErr(err)
	is.True(&second.Chosen[0] == &first.Chosen[0])
	third, err := encoder.Encode(register.Durable{Votes: 2, Value: next, Chosen: next})
	is.NoErr(err)
	is.True(&third.Chosen[0] == &second.Value[0])
	fresh, err := new(DurableEncoder).Encode(register.Durable{Votes: 2, Value: next, Chosen: next})
	is.NoErr(err)
	is.Equal(string(third.Value), string(fresh.Value))
}

// Guards against a register file of an older version that cannot be read, or by which a data centre seems to be evacuated.
func TestDecode_StateOfVersionWithoutEvacuations(t *testing.T) {
	is := is.New(t)
	var older State
	is.NoErr(json.Unmarshal([]byte(`{"revision":3,"profiles":[{"name":"default"}],"history":[{"revision":3,"id":"x"}]}`), &older))
	is.Equal(older.Decode().Set.Evacuations, nil)
}

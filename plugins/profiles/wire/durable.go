package wire

import (
	"encoding/json"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
)

// Durable is the encoded form of a register.Durable.
type Durable struct {
	durableFields
	Value  *State `json:"value"`
	Chosen *State `json:"chosen,omitempty"`
}

// durableFields are the fields of a register.Durable besides its states.
type durableFields struct {
	Store    store                   `json:"store"`
	Voting   bool                    `json:"voting"`
	Copied   bool                    `json:"copied"`
	Votes    uint64                  `json:"votes"`
	Promised *ballot                 `json:"promised,omitempty"`
	Accepted *ballot                 `json:"accepted,omitempty"`
	Fences   map[model.NodeID]store  `json:"fences"`
	Seen     map[model.NodeID]uint64 `json:"seen"`
	Former   map[model.NodeID]store  `json:"former,omitempty"`
	Takes    store                   `json:"takes,omitzero"`
	Released bool                    `json:"released,omitempty"`
}

// EncodedDurable is a register.Durable whose states are encoded already. Its JSON is that of Durable.
type EncodedDurable struct {
	durableFields
	Value  json.RawMessage `json:"value"`
	Chosen json.RawMessage `json:"chosen"`
}

// DurableEncoder encodes what a replica keeps on its disk. A vote mostly leaves the states as they were, which may
// hold a routing of a thousand routes, so it keeps the encoded states of the last call.
type DurableEncoder struct{ value, chosen encodedState }

// Encode returns the encoded form of d.
func (e *DurableEncoder) Encode(d register.Durable) (EncodedDurable, error) {
	former := [...]encodedState{e.value, e.chosen}
	var err error
	if e.value, err = encodeStateOnce(d.Value, former[:]); err != nil {
		return EncodedDurable{}, err
	}
	if e.chosen, err = encodeStateOnce(d.Chosen, append(former[:], e.value)); err != nil {
		return EncodedDurable{}, err
	}
	return EncodedDurable{
		durableFields: durableFields{
			Store: store(d.Store), Voting: d.Voting, Copied: d.Copied, Votes: d.Votes,
			Promised: encodeBallot(d.Promised), Accepted: encodeBallot(d.Accepted),
			Fences: encodeStores(d.Fences), Seen: d.Seen, Former: encodeStores(d.Former), Takes: store(d.Takes), Released: d.Released,
		},
		Value: e.value.raw, Chosen: e.chosen.raw,
	}, nil
}

// encodedState is a state with its encoded form.
type encodedState struct {
	state register.State
	raw   json.RawMessage
}

// encodeStateOnce returns the encoded form of s, from the former ones if it is among them.
func encodeStateOnce(s register.State, former []encodedState) (encodedState, error) {
	for _, f := range former {
		if sameState(f.state, s) {
			return f, nil
		}
	}
	raw, err := json.Marshal(EncodeState(&s))
	return encodedState{s, raw}, err
}

// sameState reports whether two states are copies of one. A state is immutable, and each change makes a history of
// its own, so states that share the last entry of their histories are the same.
func sameState(a, b register.State) bool {
	if len(a.History) == 0 || len(a.History) != len(b.History) {
		return false
	}
	last := len(a.History) - 1
	return &a.History[last] == &b.History[last] && a.Set.Routing == b.Set.Routing && a.Revision() == b.Revision()
}

// Decode returns the durable state; ok is false when the accepted or the chosen state is missing.
func (d Durable) Decode() (decoded register.Durable, ok bool) {
	if d.Value == nil || d.Chosen == nil {
		return register.Durable{}, false
	}
	return register.Durable{
		Store: register.Store(d.Store), Voting: d.Voting, Copied: d.Copied, Votes: d.Votes,
		Promised: d.Promised.decode(), Accepted: d.Accepted.decode(),
		Value: *d.Value.Decode(), Chosen: *d.Chosen.Decode(), Fences: decodeStores(d.Fences), Seen: d.Seen,
		Former: decodeStores(d.Former), Takes: register.Store(d.Takes), Released: d.Released,
	}, true
}

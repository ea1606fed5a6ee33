package wire

import (
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
)

type ballot struct {
	Round uint64       `json:"round"`
	Node  model.NodeID `json:"node"`
	Run   uint64       `json:"run"`
}

func encodeBallot(b register.Ballot) *ballot {
	if b == (register.Ballot{}) {
		return nil
	}
	encoded := ballot(b)
	return &encoded
}

func (b *ballot) decode() register.Ballot {
	if b == nil {
		return register.Ballot{}
	}
	return register.Ballot(*b)
}

type store struct {
	Number uint64       `json:"number"`
	Nonce  uint64       `json:"nonce"`
	Node   model.NodeID `json:"node,omitempty"`
}

// Message is the encoded form of a register.Message, with the cluster and group that it belongs to.
type Message struct {
	Cluster  string `json:"cluster,omitempty"`
	Replicas uint64 `json:"replicas"` // Hash of the sender's list of replicas.
	// Sender is the replica whose place the sender has, or the sender's identity without a place. It is
	// empty when that equals the sender's node id.
	Sender model.NodeID `json:"sender,omitempty"`

	Kind     register.MessageKind    `json:"kind"`
	Ballot   *ballot                 `json:"ballot,omitempty"`
	Run      uint64                  `json:"run,omitempty"`
	Store    store                   `json:"store,omitzero"`
	Votes    uint64                  `json:"votes,omitempty"`
	Fences   map[model.NodeID]store  `json:"fences,omitempty"`
	Seen     map[model.NodeID]uint64 `json:"seen,omitempty"`
	Accepted *ballot                 `json:"accepted,omitempty"`
	Value    *State                  `json:"value,omitempty"`
	Base     *ballot                 `json:"base,omitempty"`
	Delta    *delta                  `json:"delta,omitempty"`
	Takes    store                   `json:"takes,omitzero"`
	Former   store                   `json:"former,omitzero"`
	Copied   bool                    `json:"copied,omitempty"`
	Voting   bool                    `json:"voting,omitempty"`
	Empty    bool                    `json:"empty,omitempty"`
	Promised *ballot                 `json:"promised,omitempty"`
	Chosen   *State                  `json:"chosen,omitempty"`
	Revision model.Revision          `json:"revision,omitempty"`
	Pending  model.Revision          `json:"pending,omitempty"`
	Brief    bool                    `json:"brief,omitempty"`
	Serving  bool                    `json:"serving,omitempty"`
}

// EncodeMessage returns the encoded form of m.
func EncodeMessage(m register.Message, cluster string, replicas uint64) Message {
	return Message{
		Cluster: cluster, Replicas: replicas,
		Kind: m.Kind, Ballot: encodeBallot(m.Ballot), Run: m.Run, Store: store(m.Store), Votes: m.Votes,
		Fences: encodeStores(m.Fences), Seen: m.Seen,
		Accepted: encodeBallot(m.Accepted), Value: EncodeState(m.Value), Base: encodeBallot(m.Base), Delta: encodeDelta(m.Delta),
		Takes: store(m.Takes), Former: store(m.Former), Copied: m.Copied, Voting: m.Voting, Empty: m.Empty, Promised: encodeBallot(m.Promised), Chosen: EncodeState(m.Chosen),
		Revision: m.Revision, Pending: m.Pending, Brief: m.Brief, Serving: m.Serving,
	}
}

// Decode returns the message.
func (m Message) Decode() register.Message {
	return register.Message{
		Kind: m.Kind, Ballot: m.Ballot.decode(), Run: m.Run, Store: register.Store(m.Store), Votes: m.Votes,
		Fences: decodeStores(m.Fences), Seen: m.Seen,
		Accepted: m.Accepted.decode(), Value: m.Value.Decode(), Base: m.Base.decode(), Delta: m.Delta.decode(),
		Takes: register.Store(m.Takes), Former: register.Store(m.Former), Copied: m.Copied, Voting: m.Voting, Empty: m.Empty, Promised: m.Promised.decode(), Chosen: m.Chosen.Decode(),
		Revision: m.Revision, Pending: m.Pending, Brief: m.Brief, Serving: m.Serving,
	}
}

type delta struct {
	Change  change   `json:"change"`
	Profile profile  `json:"profile"`
	Routing *routing `json:"routing,omitempty"`
}

func encodeDelta(d *register.Delta) *delta {
	if d == nil {
		return nil
	}
	return &delta{change(d.Change), profile(d.Profile), encodeRouting(d.Routing)}
}

func (d *delta) decode() *register.Delta {
	if d == nil {
		return nil
	}
	return &register.Delta{Change: model.ProfileChange(d.Change), Profile: model.Profile(d.Profile), Routing: d.Routing.decode()}
}

func encodeStores(stores map[model.NodeID]register.Store) map[model.NodeID]store {
	encoded := make(map[model.NodeID]store, len(stores))
	for node, s := range stores {
		encoded[node] = store(s)
	}
	return encoded
}

func decodeStores(stores map[model.NodeID]store) map[model.NodeID]register.Store {
	if stores == nil {
		return nil
	}
	decoded := make(map[model.NodeID]register.Store, len(stores))
	for node, s := range stores {
		decoded[node] = register.Store(s)
	}
	return decoded
}

// Takeover asks a member whether the sender may take over a place whose newest store it knows to be Store.
type Takeover struct {
	Place model.NodeID `json:"place"`
	Store store        `json:"store"`
}

// NewTakeover returns the request for a place and its newest known store.
func NewTakeover(place model.NodeID, newest register.Store) Takeover {
	return Takeover{place, store(newest)}
}

// Newest returns the newest store of the place that the sender knows.
func (t Takeover) Newest() register.Store { return register.Store(t.Store) }

// TakeoverReply is the reply to Takeover. Supported is true when the member votes, and so can reply to the
// new store's Join, and knows no newer store of the place.
type TakeoverReply struct {
	Supported bool `json:"supported"`
}

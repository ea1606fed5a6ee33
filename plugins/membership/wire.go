package membership

import (
	"context"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/membership/swim"
)

// Methods that members call on each other.
const (
	methodPing  = "membership/ping"
	methodRelay = "membership/relay"
)

// wireMessage is the JSON form of a swim.Message. Field names are short, since each ping and each
// answer carries them.
type wireMessage struct {
	Records   []wireRecord `json:"r"`
	Values    []wireValue  `json:"v,omitempty"`
	FullState bool         `json:"all,omitempty"`
}

type wireRecord struct {
	Node        model.NodeID      `json:"n"`
	Incarnation model.Incarnation `json:"i"`
	DataCentre  model.DataCentre  `json:"d"`
	Peers       string            `json:"p"`
	Endpoints   string            `json:"e"`
	Disk        bool              `json:"k,omitempty"`
	Draining    bool              `json:"g,omitempty"`
	Reserve     bool              `json:"x,omitempty"`
	Weight      float64           `json:"w,omitempty"`
	Epoch       uint64            `json:"t"`
	Version     uint64            `json:"v,omitempty"`
	State       swim.State        `json:"s"`
	Ended       bool              `json:"q,omitempty"`
}

type wireValue struct {
	Origin  model.NodeID `json:"n"`
	Topic   string       `json:"t"`
	Epoch   uint64       `json:"e"`
	Version uint64       `json:"v"`
	Data    []byte       `json:"b"`
}

// relayRequest asks a member to ping Target on behalf of the sender. It contains the address, which
// the receiver may not know.
type relayRequest struct {
	Target  model.NodeID `json:"target"`
	Address string       `json:"address"`
}

type relayReply struct {
	Reached bool `json:"reached"`
	Refused bool `json:"refused,omitempty"` // No process listens at the target's address.
}

func encode(message swim.Message) wireMessage {
	w := wireMessage{FullState: message.FullState, Records: make([]wireRecord, 0, len(message.Records))}
	for _, r := range message.Records {
		n := r.Node
		w.Records = append(w.Records, wireRecord{
			n.ID, n.Incarnation, n.DataCentre, n.Peers, n.Endpoints, n.Disk, n.Draining, n.Reserve, n.Weight, r.Epoch, r.Version, r.State, r.ProcessEnded,
		})
	}
	for _, v := range message.Values {
		w.Values = append(w.Values, wireValue(v))
	}
	return w
}

func (w wireMessage) decode() swim.Message {
	message := swim.Message{FullState: w.FullState}
	for _, r := range w.Records {
		message.Records = append(message.Records, swim.Record{
			Node: port.Node{
				ID: r.Node, Incarnation: r.Incarnation, DataCentre: r.DataCentre,
				Peers: r.Peers, Endpoints: r.Endpoints, Disk: r.Disk, Draining: r.Draining, Reserve: r.Reserve, Weight: r.Weight,
			},
			Epoch: r.Epoch, Version: r.Version, State: r.State, ProcessEnded: r.Ended,
		})
	}
	for _, v := range w.Values {
		message.Values = append(message.Values, swim.Value(v))
	}
	return message
}

func (m *Membership) registerHandlers() {
	port.Handle(m.peers, methodPing, m.handlePing)
	port.Handle(m.peers, methodRelay, m.handleRelay)
}

// handlePing handles a ping of another member.
func (m *Membership) handlePing(_ context.Context, _ model.NodeID, w wireMessage) wireMessage {
	return encode(m.step(swim.PingReceived{Message: w.decode()}).Reply)
}

// handleRelay pings a member on behalf of another one that got no answer from it.
func (m *Membership) handleRelay(ctx context.Context, _ model.NodeID, r relayRequest) relayReply {
	ctx, cancel := context.WithTimeout(ctx, m.answerTimeout())
	defer cancel()
	if _, known := m.view.Load().record(r.Target); !known {
		m.peers.SetAddress(r.Target, r.Address)
	}
	message := m.step(swim.MessageRequested{To: r.Target}).Reply
	var reply wireMessage
	if delivery := m.peers.Call(ctx, r.Target, methodPing, encode(message), &reply); delivery != port.Delivered {
		return relayReply{Refused: delivery == port.Refused}
	}
	answer := reply.decode()
	m.step(swim.RelayedPingAnswered{Message: answer})
	sender, ok := answer.Sender()
	return relayReply{Reached: ok && sender.Node.ID == r.Target}
}

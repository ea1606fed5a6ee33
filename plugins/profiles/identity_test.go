package profiles

import (
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/disk"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

// sentMessages are peers that record the messages which a member sends.
type sentMessages struct {
	port.Peers
	messages chan wire.Message
}

func (s *sentMessages) Call(_ context.Context, _ model.NodeID, _ string, request, _ any) port.Delivery {
	s.messages <- request.(wire.Message)
	return port.Unknown
}

// Guards against the loss of an accepted change: a reply that waited for a write left under the identity that its sender had by then. A
// replica that was replaced meanwhile seemed to be a member without a place that votes, and counted beside the new holder.
func TestSend_MessageLeavesUnderTheIdentityThatMadeIt(t *testing.T) {
	is := is.New(t)
	peers := &sentMessages{messages: make(chan wire.Message, 16)}
	p := &Profiles{self: "a", takeoverEnabled: true, log: slog.New(slog.DiscardHandler), recorder: &fakePorts{}, peers: peers, membership: &fakePorts{net: &network{}}}
	p.ctx, p.cancel = context.WithCancel(t.Context())
	p.messagesSent = metrics.NewCounter()
	p.wakeup = make(chan struct{}, 1)
	p.group.Store(newGroup([]model.NodeID{"a", "b", "c"}))
	own, newer := register.Store{Number: 1, Nonce: 1, Node: "a"}, register.Store{Number: 1 << 32, Nonce: 2, Node: "x"}
	file := register.Durable{
		Store: own, Voting: true, Value: register.Initial(), Chosen: register.Initial(),
		Fences: map[model.NodeID]register.Store{"a": own},
	}
	p.installMachine("a", disk.Loaded{Durable: &file}, register.Store{})
	p.step(register.Woken{}) // Sends Join to the other replicas.
	joins, _ := p.takeEffects()
	p.step(register.Received{From: "b", Message: register.Message{Kind: register.Chosen, Fences: map[model.NodeID]register.Store{"a": newer}}})
	is.Equal(p.ownPlace(), model.NodeID("a~")) // Another member has the place now.
	p.execute(joins)
	p.goroutines.Stop()
	close(peers.messages)
	sentJoins := 0
	for m := range peers.messages {
		if m.Kind == register.Join {
			sentJoins++
			is.Equal(m.Sender, model.NodeID("")) // The place named after the member.
		}
	}
	is.Equal(sentJoins, 2)
}

package profiles

import (
	"context"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

// others returns the identities of all other live members and of all other replicas.
func (p *Profiles) others() []model.NodeID {
	var others []model.NodeID
	seen := map[model.NodeID]bool{p.ownPlace(): true}
	add := func(node model.NodeID) {
		if !seen[node] {
			others = append(others, node)
		}
		seen[node] = true
	}
	for _, node := range p.membership.Alive() {
		add(p.identityOf(node.ID))
	}
	for _, replica := range p.replicas() {
		add(replica)
	}
	return others
}

// send sends a message to the member that an identity stands for. A message to the sender's own identity goes straight to this member's
// machine, if the member still has that identity.
func (p *Profiles) send(sender, to model.NodeID, message register.Message) {
	if to == sender {
		if sender == p.ownPlace() {
			p.step(register.Received{From: sender, Message: message})
		}
		return
	}
	node := p.memberAt(to)
	if node == p.self {
		return // This member had that identity when the message was made, and no longer has.
	}
	p.sendToMember(sender, node, message)
}

// broadcast sends a message to all other live members and replicas. It is encoded once, since it may hold
// a large state.
func (p *Profiles) broadcast(sender model.NodeID, message register.Message) {
	encoded, err := p.peers.Encode(p.encode(sender, message))
	if err != nil {
		event.RequestNotEncoded.Log(p.log, event.Text(event.Method, methodMessage), event.Err(err))
		return
	}
	for _, identity := range p.others() {
		if node := p.memberAt(identity); node != p.self {
			p.sendEncoded(node, encoded)
		}
	}
}

// encode returns a message as this member sends it under an identity.
func (p *Profiles) encode(sender model.NodeID, message register.Message) wire.Message {
	encoded := wire.EncodeMessage(message, p.settings.Cluster, p.group.Load().hash)
	if sender != p.self {
		encoded.Sender = sender
	}
	return encoded
}

// sendToMember sends a message to a member without waiting for its delivery; it may be lost.
func (p *Profiles) sendToMember(sender, node model.NodeID, message register.Message) {
	p.sendEncoded(node, p.encode(sender, message))
}

// sendEncoded sends an encoded message to a member without waiting for its delivery.
func (p *Profiles) sendEncoded(node model.NodeID, encoded any) {
	p.messagesSent.Inc(1)
	p.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
		defer cancel()
		p.peers.Call(ctx, node, methodMessage, encoded, &struct{}{}) // The machine sends a lost message again.
	})
}

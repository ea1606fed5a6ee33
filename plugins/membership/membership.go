// Package membership knows which entry VMs are alive. So far it takes all members that settings
// name as alive.
package membership

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

const incarnationLength = 12 // Characters of a random incarnation.

// Membership is the plug-in. Create it through the registry.
type Membership struct {
	self    port.Node
	alive   []port.Node
	changed chan struct{}
}

// Provision takes the members from settings.
func (m *Membership) Provision(c *plugin.Context) error {
	for _, member := range c.Node.Members {
		node := port.Node{
			ID: member.Node, DataCentre: member.DataCentre,
			Peers: member.Peers, Endpoints: member.Endpoints, Disk: member.Disk,
		}
		if node.ID == c.Node.Node {
			node.Incarnation = newIncarnation()
			m.self = node
		}
		m.alive = append(m.alive, node)
	}
	slices.SortFunc(m.alive, func(a, b port.Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	m.changed = make(chan struct{})
	plugin.Bind[port.Membership](c, m)
	plugin.Bind[port.Gossip](c, m)
	return c.Settings(&struct{}{})
}

func newIncarnation() model.Incarnation {
	return model.Incarnation(strings.ToLower(rand.Text()[:incarnationLength]))
}

// Self returns this member.
func (m *Membership) Self() port.Node { return m.self }

// Alive returns the live members sorted by id.
func (m *Membership) Alive() []port.Node { return m.alive }

// Changed returns a channel that is closed at the next change of Alive.
func (m *Membership) Changed() <-chan struct{} { return m.changed }

// Leave tells the others that this member takes no new work.
func (m *Membership) Leave(context.Context) {}

// Publish sets what this member tells under a topic.
func (m *Membership) Publish(string, []byte) {}

// Subscribe has receive called with what other members tell under a topic.
func (m *Membership) Subscribe(string, func(model.NodeID, []byte)) {}

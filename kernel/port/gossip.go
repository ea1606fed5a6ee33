package port

import "redwingpulley/kernel/model"

// Gossip carries small values on membership messages, so that they cost no messages of their own.
type Gossip interface {
	// Publish sets what this member tells under a topic, at most a few hundred bytes. The newest
	// value replaces older ones.
	Publish(topic string, value []byte)
	// Subscribe has receive called with the newest value of each member that told a new one. It is
	// called before Start; receive must not block.
	Subscribe(topic string, receive func(from model.NodeID, value []byte))
}

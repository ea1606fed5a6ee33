package port

import "redwingpulley/kernel/model"

// Gossip piggybacks small values on membership messages, so that they cost no messages of their own.
type Gossip interface {
	// Publish sets the value that this member gossips under a topic, at most a few hundred bytes. It
	// replaces the previous value.
	Publish(topic string, value []byte)
	// Subscribe registers receive, which is called with the newest value of each member that has
	// published a new one. Subscribe must be called before Start; receive must not block.
	Subscribe(topic string, receive func(from model.NodeID, value []byte))
}

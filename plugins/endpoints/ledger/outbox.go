package ledger

import "redwingpulley/kernel/invariant"

// Outbox numbers the batches that an origin sends to one incarnation of an owner, and computes the
// cumulative acknowledgement for its messages. The zero value is an empty outbox. An Outbox is not safe
// for concurrent use.
type Outbox struct {
	last    uint64              // Number of the newest batch.
	settled uint64              // All batches up to this number are closed.
	open    map[uint64]struct{} // Numbers of the batches that are not closed.
}

// Open returns the number of a new batch. The batch is open until Close is called for it.
func (o *Outbox) Open() uint64 {
	if o.open == nil {
		o.open = make(map[uint64]struct{})
	}
	o.last++
	o.open[o.last] = struct{}{}
	return o.last
}

// Close marks an open batch as closed: the origin has its result or no longer waits for it.
func (o *Outbox) Close(sequence uint64) {
	_, open := o.open[sequence]
	invariant.Check(open, "one-result", "batch %d is not open", sequence)
	delete(o.open, sequence)
	for o.settled < o.last {
		if _, open := o.open[o.settled+1]; open {
			return
		}
		o.settled++
	}
}

// Settled returns the number up to which all batches are closed.
func (o *Outbox) Settled() uint64 { return o.settled }

// Empty reports whether no batch is open.
func (o *Outbox) Empty() bool { return len(o.open) == 0 }

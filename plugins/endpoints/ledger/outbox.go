package ledger

import "redwingpulley/kernel/invariant"

// Outbox numbers the batches that an origin sends to one incarnation of an owner. The zero value
// has sent none.
type Outbox struct {
	last    uint64 // Number of the newest batch.
	settled uint64 // All batches up to it have their results.
	open    map[uint64]struct{}
}

// Open returns the number of a new batch.
func (o *Outbox) Open() uint64 {
	if o.open == nil {
		o.open = make(map[uint64]struct{})
	}
	o.last++
	o.open[o.last] = struct{}{}
	return o.last
}

// Close says that the origin has the batch's result or has given it up.
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

// Settled returns the number up to which all batches have their results.
func (o *Outbox) Settled() uint64 { return o.settled }

// Empty reports whether no batch is open.
func (o *Outbox) Empty() bool { return len(o.open) == 0 }

package register

import "fmt"

// dump describes what the members know, for the message of a failed run.
func (sim *simulation) dump() (out string) {
	for _, id := range sim.memberIDs {
		n := sim.members[id]
		m := n.machine
		out += fmt.Sprintf("%s self=%s down=%t list=%v vote=%t serving=%t rev=%d val=%d acc=%v prom=%v store=%v intact=%t standing=%+v replaced=%t regrouped=%t proposal=%v\n  fences=%v\n", id, m.config.Self, n.down, m.config.Replicas, m.CanVote(), m.serving, m.served.Revision(), m.durable.Value.Revision(), m.durable.Accepted, m.durable.Promised, m.durable.Store, m.intact, m.Standing(), m.replaced, m.regrouped, m.proposal != nil, m.durable.Fences)
	}
	return fmt.Sprint(sim.replicaIDs, " groupstores ", sim.newestServed().Group, "\n") + out
}

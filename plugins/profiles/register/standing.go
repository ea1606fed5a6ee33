package register

import (
	"maps"
	"slices"

	"redwingpulley/kernel/model"
)

// Phase says what a replica does about its vote, or on what ground it votes.
type Phase string

// Phases of a replica.
const (
	Confirming        Phase = "confirms_file"          // Its file is intact; a majority has to confirm that it is the newest one.
	Joining           Phase = "joins"                  // It has started a new store and needs the replies of enough voting others.
	Reclaiming        Phase = "reclaims_place"         // Another member has its place; it keeps its file until that one votes.
	VotesWithFile     Phase = "votes_with_file"        // A majority has confirmed its file.
	VotesAfterJoin    Phase = "votes_after_join"       // It has taken over what enough voting others know.
	VotesAfterFirst   Phase = "votes_after_first_join" // No replica had accepted a value, as at a first start.
	VotesAfterRestore Phase = "votes_after_restore"    // All files are copies, or the operators have set Config.Reform.
)

// Standing is a member's part in the votes of the replicas.
type Standing struct {
	Replica bool           // Whether the member has a replica's place.
	Voting  bool           // Whether it may vote now.
	Phase   Phase          // "" without a place.
	Replied []model.NodeID // Replicas whose replies to Join count, sorted; nil once it votes.
	Intact  bool           // Whether its store is intact, so that the replies have to confirm it; else it joins under a new one.
	Counted int            // Number of replies so far that count towards Needed; 0 once it votes.
	Needed  int            // Number of replies after which it votes; 0 once it votes.
}

// Standing returns this member's part in the votes.
func (m *Machine) Standing() Standing {
	standing := Standing{Replica: m.isReplica(), Voting: m.canVote(), Phase: m.phase(), Intact: m.intact}
	if standing.Voting || !standing.Replica {
		return standing
	}
	standing.Replied = slices.Sorted(maps.Keys(m.joinReplies))
	standing.Counted, standing.Needed = m.joinProgress()
	return standing
}

func (m *Machine) phase() Phase {
	switch {
	case !m.isReplica():
		return ""
	case m.canVote():
		return m.votesBy
	case m.reclaiming:
		return Reclaiming
	case m.intact:
		return Confirming
	}
	return Joining
}

// Rounds counts the rounds of agreement that a machine has proposed.
type Rounds struct {
	Started uint64
	Lost    uint64 // Those that found no majority in time, or were outbid by another replica's.
}

// Rounds returns the numbers of rounds since the machine was created.
func (m *Machine) Rounds() Rounds { return m.rounds }

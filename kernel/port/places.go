package port

import (
	"time"

	"redwingpulley/kernel/model"
)

// ReplicaPlaces are the places of the register's replicas as one member knows them.
type ReplicaPlaces struct {
	Node      model.NodeID   // The member that has given this view.
	At        time.Time      // When it gave the view, by its own clock.
	Takeovers bool           // Whether another member may take over the place of a holder that is away.
	Majority  int            // Number of voters that a change needs; 0 while the replicas are not known.
	Voters    int            // Number of places whose holder votes.
	Places    []ReplicaPlace // Sorted by place; empty while the replicas are not known.
	Spares    []model.NodeID // Live members that have a disk and no place, sorted.
}

// ReplicaPlace is the place of a replica.
type ReplicaPlace struct {
	Place  model.NodeID // Named after the member that had it first.
	Holder model.NodeID
	State  PlaceState
	Since  time.Time     // When the holder took the place, by its own clock; zero where that is not known.
	Away   time.Duration // How long the holder has not been considered alive; 0 while it is.
	Wait   PlaceWait
}

// PlaceState is what the holder of a place does.
type PlaceState string

// States of places.
const (
	PlaceVoter     PlaceState = "voter"     // The holder votes, and its right to vote is synced.
	PlaceLearner   PlaceState = "learner"   // The holder is alive and does not vote yet.
	PlaceUnreached PlaceState = "unreached" // The holder is considered alive, and did not report in time.
	PlaceAway      PlaceState = "away"      // The holder is not considered alive.
)

// PlaceWait is what a place waits for until its holder, or a replacement, votes. Fields that a kind does not
// use are zero.
type PlaceWait struct {
	Kind PlaceWaitKind
	Have int           // How many there are of what Kind names.
	Need int           // How many are needed.
	Left time.Duration // Remaining delay of WaitDelay.
	By   model.NodeID  // The member that takes the place over, where that is decided.
}

// PlaceWaitKind tells what a place waits for.
type PlaceWaitKind string

// Kinds of waits. The first four are those of a live holder, the others of a place whose holder is away.
const (
	WaitNothing PlaceWaitKind = ""
	WaitGroup   PlaceWaitKind = "group"   // The list of the replicas, which another member publishes.
	WaitConfirm PlaceWaitKind = "confirm" // Replies of other replicas that nobody has seen a later vote of the file on the disk.
	WaitJoin    PlaceWaitKind = "join"    // Replies of voting replicas, for a disk that was empty, old, or taken over from another member.
	WaitSync    PlaceWaitKind = "sync"    // The synced write of the right to vote.

	WaitReturn   PlaceWaitKind = "return"   // The holder itself: places are not taken over where the settings list the members.
	WaitHolders  PlaceWaitKind = "holders"  // Holders that are alive: with fewer, a new store could not join.
	WaitSpare    PlaceWaitKind = "spare"    // A live member that has a disk and no place.
	WaitDelay    PlaceWaitKind = "delay"    // The end of the delay after which a place is taken over.
	WaitVoters   PlaceWaitKind = "voters"   // Voters among the other holders, which have to support the takeover.
	WaitTakeover PlaceWaitKind = "takeover" // The takeover itself, by the member in By.
)

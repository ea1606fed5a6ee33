package wire

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/occupancy"
)

// PlaceRequest asks the holder of a place what it does.
type PlaceRequest struct {
	Place model.NodeID `json:"place"`
}

// PlaceReport is the reply to PlaceRequest, without a state when the member does not have the place.
type PlaceReport struct {
	Stores Message `json:"stores"` // The newest stores that the member knows, in a message of kind Chosen.
	Groups bool    `json:"groups"` // Whether the member follows a group of replicas that grows; false in an earlier version.

	State port.PlaceState    `json:"state,omitempty"`
	Since time.Time          `json:"since,omitzero"`
	Wait  port.PlaceWaitKind `json:"wait,omitempty"`
	Have  int                `json:"have,omitempty"`
	Need  int                `json:"need,omitempty"`
}

// EncodePlaceReport returns the encoded form of a report, which is nil when the member does not have the place.
func EncodePlaceReport(r *occupancy.Report, stores Message) PlaceReport {
	if r == nil {
		return PlaceReport{Stores: stores, Groups: true}
	}
	return PlaceReport{stores, true, r.State, r.Since, r.Wait.Kind, r.Wait.Have, r.Wait.Need}
}

var (
	reportedStates = []port.PlaceState{port.PlaceVoter, port.PlaceLearner}
	reportedWaits  = []port.PlaceWaitKind{port.WaitNothing, port.WaitGroup, port.WaitConfirm, port.WaitJoin, port.WaitSync}
)

// Decode returns the report; nil when the member does not have the place, or reports what a holder can't.
func (r PlaceReport) Decode() *occupancy.Report {
	if !slices.Contains(reportedStates, r.State) || !slices.Contains(reportedWaits, r.Wait) || r.Have < 0 || r.Need < 0 {
		return nil
	}
	wait := port.PlaceWait{Kind: r.Wait, Have: r.Have, Need: r.Need}
	return &occupancy.Report{State: r.State, Since: r.Since, Wait: wait}
}

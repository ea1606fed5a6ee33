package jobs

import (
	"time"

	"redwingpulley/kernel/model"
)

// evacuatedRetry is when the caller of a job that is refused for an evacuation is advised to try again. Operators end an
// evacuation at any time, and the pools then take work at once.
const evacuatedRetry = time.Second

// withoutEvacuated returns the loads of the pools that are in no evacuated data centre, by the orders that this member knows: a load
// may be older. If it leaves any out, it also returns the refusal of a job that cannot be planned for that reason.
func withoutEvacuated(profiles model.ProfileSet, loads []model.PoolLoad) (rest []model.PoolLoad, refused *refusal) {
	for _, l := range loads {
		if profiles.Evacuated(l.Pool.DataCentre) {
			refused = &refusal{model.ReasonEvacuated, evacuatedRetry, "operators have had the data centres evacuated that could run the job"}
			continue
		}
		rest = append(rest, l)
	}
	return rest, refused
}

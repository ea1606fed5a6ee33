package jobs

import "redwingpulley/kernel/model"

// withoutEvacuated returns the loads of the pools that are in no evacuated data centre, by the orders that this member knows: a load
// may be older. If it leaves any out, it also returns the refusal of a job that cannot be planned for that reason.
func withoutEvacuated(profiles model.ProfileSet, loads []model.PoolLoad) (rest []model.PoolLoad, refused *refusal) {
	for _, l := range loads {
		if profiles.Evacuated(l.Pool.DataCentre) {
			refused = &refusal{model.ReasonEvacuated, model.EvacuatedRetryAfter, "all data centres that could run the job are evacuated"}
			continue
		}
		rest = append(rest, l)
	}
	return rest, refused
}

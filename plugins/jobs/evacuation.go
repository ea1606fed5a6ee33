package jobs

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/jobs/fit"
)

// withoutEvacuated returns the loads of the pools that are in no evacuated data centre, by the orders that this member knows: a load
// may be older than these. If it leaves any out, it also returns the refusal of a job that cannot be planned for that reason.
func withoutEvacuated(profiles model.ProfileSet, loads []model.PoolLoad) (rest []model.PoolLoad, evacuated *refusal) {
	for _, l := range loads {
		if profiles.Evacuated(l.Pool.DataCentre) {
			evacuated = &refusal{model.ReasonEvacuated, model.EvacuatedRetryAfter, "all data centres that could run the job are evacuated"}
			continue
		}
		rest = append(rest, l)
	}
	return rest, evacuated
}

// fitsWithEvacuated reports whether the job could run, as far as is known, if no data centre were evacuated. The pools there report
// no slots, so that they count as having enough of them.
func fitsWithEvacuated(profiles model.ProfileSet, job model.Job, loads []model.PoolLoad) bool {
	loads = slices.Clone(loads)
	for i := range loads {
		if !profiles.Evacuated(loads[i].Pool.DataCentre) {
			continue
		}
		if loads[i].Endpoints == 0 {
			return true // A new owner does not know the endpoints yet.
		}
		loads[i].Slots = model.MaxTasksPerJob
	}
	_, fits := fit.Check(job, loads, time.Now())
	return fits
}

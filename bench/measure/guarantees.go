package measure

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/standin"
)

// violations lists the violations of the dispatcher's guarantees, as observed by callers and endpoints.
func violations(run Run, starts map[string]int) []string {
	found := []string{}
	for _, task := range standin.RepeatedStarts(run.Logs...) {
		found = append(found, "started more than once: "+task)
	}
	for _, r := range run.Results {
		switch {
		case r.Outcome == load.Wrong:
			found = append(found, fmt.Sprintf("job %d (%s) got %s", r.Index, r.ID, r.Reason))
		case r.Outcome == caller.NotRun && starts[r.ID] > 0:
			found = append(found, fmt.Sprintf("job %d (%s) was refused as not run (%s), but %d tasks started", r.Index, r.ID, r.Reason, starts[r.ID]))
		}
	}
	return found
}

// CheckGuarantees returns an error when a guarantee was violated.
func (r Report) CheckGuarantees() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return errors.Newf("%d violations of guarantees, the first: %s", len(r.Violations), r.Violations[0])
}

// CheckAllComplete returns an error unless every job that was not cancelled by its caller completed,
// which must hold in a run without faults or overload.
func (r Report) CheckAllComplete() error {
	for _, s := range r.Services {
		if missing := s.Jobs - s.Cancelled - s.Outcomes[caller.Complete]; missing > 0 {
			return errors.Newf("%s: %d jobs were not completed: %v", s.Name, missing, s.Reasons)
		}
	}
	return nil
}

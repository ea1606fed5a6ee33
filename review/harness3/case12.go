package main

import (
	"strings"
	"time"
)

const (
	cutLength     = 5500 * time.Millisecond // As the site's list of troubles has it for node_cut.
	contactMS     = 3000 * time.Millisecond
	cancelMS      = 3000 * time.Millisecond
	stopTimeoutMS = 50 * time.Millisecond
	roundsOfCase  = 5
	postAfterCut  = 4900 * time.Millisecond
	cancelAtCut   = 5200 * time.Millisecond
	patientCaller = 12 * time.Second
)

// cancelledAtCutOffFrontend cuts off one frontend after the other from the other machines. A caller submits a job at another frontend of
// its zone and cancels it at the one that is cut off. It reports whether the rule was broken: a task of the job is still at work after a
// stretch of cancelMS and stopTimeoutMS that began contactMS after the last disturbance, with the cancelling acknowledged before.
func cancelledAtCutOffFrontend(c *cluster, trouble bool) (broken bool, err error) {
	pairs := [][2]string{
		{"frontend-bistrita-1", "frontend-bistrita-2"}, {"frontend-cluj-2", "frontend-cluj-1"}, {"frontend-mures-2", "frontend-mures-1"},
		{"frontend-mures-2", "frontend-mures-3"}, {"frontend-bistrita-2", "frontend-bistrita-1"},
	}
	for round := range roundsOfCase {
		time.Sleep(3 * time.Second) // All are in touch again.
		pair := pairs[round%len(pairs)]
		if cancelRound(c, c.machine(pair[0]), c.machine(pair[1]), trouble) {
			return true, nil
		}
	}
	return false, nil
}

func cancelRound(c *cluster, owner, cutOff *machine, trouble bool) (broken bool) {
	cutAt := time.Now()
	if trouble {
		say("%s is cut off from all other machines", cutOff.name)
		c.partition(cutOff, true)
	}
	healed := make(chan struct{})
	time.AfterFunc(cutLength, func() {
		if trouble {
			c.partition(cutOff, false)
			say("%s is connected again", cutOff.name)
		}
		close(healed)
	})
	for time.Since(cutAt) < postAfterCut { // Other callers go on sending jobs to the frontend.
		newJob(1, 300, 1500*time.Millisecond).post(cutOff)
		time.Sleep(300 * time.Millisecond)
	}
	j := newJob(8, 7500, patientCaller)
	say("job %s: POST at %s, %d tasks of %d ms", j.id, owner.name, j.tasks, j.taskMS)
	answer := j.post(owner)
	time.Sleep(time.Until(cutAt.Add(cancelAtCut)))
	status, by, ackedAt := j.cancel([]*machine{cutOff, owner})
	if by == nil {
		say("job %s: the cancelling was not acknowledged", j.id)
	} else {
		say("job %s: the cancelling is acknowledged with %d by %s", j.id, status, by.name)
	}
	<-healed
	gone := time.Now().Add(contactMS + cancelMS + stopTimeoutMS)
	say("job %s: its caller gets: %s", j.id, <-answer)
	time.Sleep(time.Until(gone))
	late := 0
	for _, r := range c.runs.of(j.id) {
		note := ""
		if by != nil && (r.End.IsZero() || r.End.After(gone)) {
			note = ", at work too long"
			late++
		}
		say("run of %s at %s: from %s to %s, %s%s", strings.ReplaceAll(r.Task, ".", "/"), r.Exec, stamp(r.Start), stamp(r.End), r.How, note)
	}
	if late > 0 {
		say("UNASKED: %d tasks of job %s were at work at %s, its cancelling was acknowledged at %s", late, j.id, stamp(gone), stamp(ackedAt))
	}
	return late > 0
}

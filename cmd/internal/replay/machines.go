package replay

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/jobs/jobstate"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/record/file"
)

// decoders map the recorded names of a machine's events to functions that decode their bodies.
type decoders[Event any] map[string]func(body []byte) (Event, error)

func (d decoders[Event]) decode(line file.Line) (event Event, err error) {
	decode, ok := d[line.Event]
	if !ok {
		return event, errors.Newf("unknown event %q", line.Event)
	}
	event, err = decode(line.Body)
	return event, errors.Wrap(err, line.Event)
}

var poolEvents = decoders[poolstate.Event]{
	"Announced":     poolEvent[poolstate.Announced],
	"Submitted":     poolEvent[poolstate.Submitted],
	"Replied":       poolEvent[poolstate.Replied],
	"RevokeReplied": poolEvent[poolstate.RevokeReplied],
	"Cancelled":     poolEvent[poolstate.Cancelled],
	"Owners":        poolEvent[poolstate.Owners],
	"Disowned":      poolEvent[poolstate.Disowned],
	"Departed":      poolEvent[poolstate.Departed],
	"Down":          poolEvent[poolstate.Down],
	"Moved":         poolEvent[poolstate.Moved],
	"Resumed":       poolEvent[poolstate.Resumed],
	"Evacuated":     poolEvent[poolstate.Evacuated],
	"Elapsed":       poolEvent[poolstate.Elapsed],
}

var jobEvents = decoders[jobstate.Event]{
	"Planned":    jobEvent[jobstate.Planned],
	"Refused":    jobEvent[jobstate.Refused],
	"BatchEnded": jobEvent[jobstate.BatchEnded],
	"Replanned":  jobEvent[jobstate.Replanned],
	"Cancelled":  jobEvent[jobstate.Cancelled],
	"Withdrawn":  jobEvent[jobstate.Withdrawn],
	"Elapsed":    jobEvent[jobstate.Elapsed],
}

var registerEvents = decoders[register.Event]{
	"Submitted":   registerEvent[register.Submitted],
	"Received":    registerEvent[register.Received],
	"Told":        registerEvent[register.Told],
	"Woken":       registerEvent[register.Woken],
	"WriteFailed": registerEvent[register.WriteFailed],
}

func registerEvent[E register.Event](body []byte) (register.Event, error) { return decode[E](body) }

func poolEvent[E poolstate.Event](body []byte) (poolstate.Event, error) { return decode[E](body) }

func jobEvent[E jobstate.Event](body []byte) (jobstate.Event, error) { return decode[E](body) }

func decode[E any](body []byte) (event E, err error) {
	err = json.Unmarshal(body, &event)
	return event, err
}

// poolStepper replays the machine of a pool. It also tracks which tasks are in flight, so that it detects a
// repeated start independently of the machine's own checks.
type poolStepper struct {
	machine  *poolstate.Machine
	outcome  *Outcome
	inFlight map[model.TaskID]int // Attempts whose end is not confirmed.
}

func newPoolStepper(line file.Line, policies poolstate.Policies, outcome *Outcome) (*poolStepper, error) {
	created, err := decode[poolstate.Created](line.Body)
	if err != nil {
		return nil, errors.Wrap(err, line.Event)
	}
	return &poolStepper{created.Machine(policies), outcome, make(map[model.TaskID]int)}, nil
}

func (p *poolStepper) step(line file.Line) (any, error) {
	event, err := poolEvents.decode(line)
	if err != nil {
		return nil, err
	}
	p.recordEnd(event)
	fx := &poolstate.Effects{}
	p.machine.Step(line.At, event, fx)
	for _, s := range fx.Starts {
		p.recordStart(s)
	}
	for _, result := range fx.Ended {
		p.outcome.countBatch(result)
	}
	return fx, nil
}

// recordStart records a start, and reports it as repeated if an earlier attempt is still in flight.
func (p *poolStepper) recordStart(s poolstate.Start) {
	if _, inFlight := p.inFlight[s.Task]; inFlight {
		p.outcome.Repeated = append(p.outcome.Repeated, string(s.Task))
	}
	p.inFlight[s.Task] = s.Attempt
	p.outcome.Starts++
}

// recordEnd removes an attempt from those in flight when a reply shows that it has ended or will never start.
func (p *poolStepper) recordEnd(event poolstate.Event) {
	switch e := event.(type) {
	case poolstate.Replied:
		if e.Reply.State != port.TaskUnknown && e.Attempt == p.inFlight[e.Task] {
			delete(p.inFlight, e.Task)
		}
	case poolstate.RevokeReplied:
		ended := e.Reply.State != port.TaskUnknown && e.Reply.State != port.TaskRunning
		if ended && e.Attempt == p.inFlight[e.Task] {
			delete(p.inFlight, e.Task)
		}
	}
}

type jobStepper struct {
	machine *jobstate.Job
	outcome *Outcome
}

func newJobStepper(line file.Line, outcome *Outcome) (*jobStepper, error) {
	created, err := decode[jobstate.Created](line.Body)
	if err != nil {
		return nil, errors.Wrap(err, line.Event)
	}
	return &jobStepper{created.Machine(), outcome}, nil
}

func (j *jobStepper) step(line file.Line) (any, error) {
	event, err := jobEvents.decode(line)
	if err != nil {
		return nil, err
	}
	fx := j.machine.Step(line.At, event)
	if fx.Ended {
		j.outcome.Jobs++
	}
	return fx, nil
}

// registerStepper replays one member's machine of the register of profiles.
type registerStepper struct{ machine *register.Machine }

func newRegisterStepper(line file.Line) (*registerStepper, error) {
	created, err := decode[register.Created](line.Body)
	if err != nil {
		return nil, errors.Wrap(err, line.Event)
	}
	return &registerStepper{created.Machine()}, nil
}

func (r *registerStepper) step(line file.Line) (any, error) {
	event, err := registerEvents.decode(line)
	if err != nil {
		return nil, err
	}
	return r.machine.Step(line.At, event), nil
}

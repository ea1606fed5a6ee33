// Package replay feeds recorded events to the decision state machines and compares the effects with those that
// were recorded.
package replay

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/poolstate"
	"redwingpulley/plugins/record/file"
)

// maxLineBytes is the longest line that Read accepts.
const maxLineBytes = 64 << 20

// Outcome is what a replay found.
type Outcome struct {
	Machines  int      `json:"machines"`
	Steps     int      `json:"steps"`
	Starts    int      `json:"starts"`    // Tasks sent to endpoints.
	Complete  int      `json:"complete"`  // Batches whose tasks all have an answer.
	Refused   int      `json:"refused"`   // Batches that started none of their tasks.
	Failed    int      `json:"failed"`    // Batches that ended otherwise.
	Jobs      int      `json:"jobs"`      // Jobs that ended.
	Repeated  []string `json:"repeated"`  // Tasks that one pool started again before the earlier attempt was known to have ended.
	Different []string `json:"different"` // Steps whose effects differ from the recorded ones.
	Gaps      []string `json:"gaps"`      // Keys of machines with missing steps; they are replayed up to the first missing step.
}

// Read reads a record. It skips an incomplete last line, which a crash can leave; any other invalid line is an
// error.
func Read(r io.Reader) ([]file.Line, error) {
	var lines []file.Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lineErr error
	for number := 1; scanner.Scan(); number++ {
		if lineErr != nil {
			return nil, lineErr
		}
		var line file.Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			lineErr = errors.Wrapf(err, "line %d", number)
			continue
		}
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), "read the record")
}

// machineKey identifies one machine within one run of a process.
type machineKey struct{ run, machine, key string }

// Run replays all machines of a record, one after the other and independently.
func Run(lines []file.Line, policies poolstate.Policies) (Outcome, error) {
	byMachine := make(map[machineKey][]file.Line)
	for _, line := range lines {
		key := machineKey{line.Run, line.Machine, line.Key}
		byMachine[key] = append(byMachine[key], line)
	}
	keys := slices.SortedFunc(maps.Keys(byMachine), func(a, b machineKey) int {
		return cmp.Or(cmp.Compare(a.run, b.run), cmp.Compare(a.machine, b.machine), cmp.Compare(a.key, b.key))
	})
	r := replay{policies: policies, outcome: Outcome{Machines: len(keys)}}
	for _, key := range keys {
		steps := byMachine[key]
		slices.SortFunc(steps, func(a, b file.Line) int { return cmp.Compare(a.Sequence, b.Sequence) })
		if err := r.machine(key, steps); err != nil {
			return r.outcome, errors.Wrapf(err, "%s %s", key.machine, key.key)
		}
	}
	return r.outcome, nil
}

type replay struct {
	policies poolstate.Policies
	outcome  Outcome
}

// stepper is a decision machine together with the decoder of its events.
type stepper interface {
	// step applies a recorded event and returns the effects.
	step(line file.Line) (effects any, err error)
}

func (r *replay) machine(key machineKey, steps []file.Line) error {
	if steps[0].Sequence != 0 {
		r.outcome.Gaps = append(r.outcome.Gaps, key.key)
		return nil
	}
	machine, err := r.newStepper(steps[0])
	if err != nil {
		return err
	}
	for i, line := range steps[1:] {
		if line.Sequence != uint64(i)+1 {
			r.outcome.Gaps = append(r.outcome.Gaps, key.key)
			return nil
		}
		if err := r.compareStep(machine, line); err != nil {
			return errors.Wrapf(err, "step %d", line.Sequence)
		}
	}
	return nil
}

func (r *replay) newStepper(line file.Line) (stepper, error) {
	switch line.Machine {
	case "pool":
		return newPoolStepper(line, r.policies, &r.outcome)
	case "job":
		return newJobStepper(line, &r.outcome)
	case "register":
		return newRegisterStepper(line)
	}
	return nil, errors.Newf("unknown kind of machine %q", line.Machine)
}

func (r *replay) compareStep(machine stepper, line file.Line) error {
	effects, err := machine.step(line)
	if err != nil {
		return err
	}
	r.outcome.Steps++
	raw, err := json.Marshal(effects)
	if err != nil {
		return errors.Wrap(err, "encode effects")
	}
	if !bytes.Equal(raw, line.Effects) {
		r.outcome.Different = append(r.outcome.Different, describeDifference(line, raw))
	}
	return nil
}

func describeDifference(line file.Line, got []byte) string {
	const shown = 300 // Bytes shown of each.
	short := func(raw []byte) string { return string(raw[:min(len(raw), shown)]) }
	return line.Machine + " " + line.Key + ", step " + line.Event + ": recorded " + short(line.Effects) + ", now " + short(got)
}

// Err returns an error if a task was started again before its earlier attempt was known to have ended, or if a
// step's effects differ from the recorded ones.
func (o Outcome) Err() error {
	switch {
	case len(o.Repeated) > 0:
		return errors.Newf("%d tasks were started again, the first: %s", len(o.Repeated), o.Repeated[0])
	case len(o.Different) > 0:
		return errors.Newf("%d steps decide otherwise, the first: %s", len(o.Different), o.Different[0])
	}
	return nil
}

// countBatch counts a batch by its outcome: refused, complete or failed.
func (o *Outcome) countBatch(result model.BatchResult) {
	done := 0
	for _, r := range result.Results {
		if r.Done {
			done++
		}
	}
	switch {
	case result.Refused:
		o.Refused++
	case done == len(result.Results):
		o.Complete++
	default:
		o.Failed++
	}
}

// Package wire encodes the register's messages and files as JSON. The JSON names are given in tags, so
// that renaming a field of the decision code does not change the format.
package wire

import (
	"slices"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
)

type profile struct {
	Name            model.ProfileName        `json:"name"`
	Placement       string                   `json:"placement"`
	Admission       string                   `json:"admission"`
	MessageCost     time.Duration            `json:"message_ns"`
	QueueTasks      int                      `json:"queue"`
	MaxDeadline     time.Duration            `json:"max_deadline_ns"`
	DefaultDeadline time.Duration            `json:"deadline_ns"`
	RetryBudget     float64                  `json:"retry"`
	DefaultRunTime  time.Duration            `json:"run_ns"`
	LearnWeight     float64                  `json:"learn"`
	DrainTime       time.Duration            `json:"drain_ns"`
	Quotas          map[model.TeamID]float64 `json:"quotas,omitempty"`
	QuotaBurst      time.Duration            `json:"burst_ns"`
}

type change struct {
	Revision model.Revision    `json:"revision"`
	ID       string            `json:"id"`
	Digest   uint64            `json:"digest"`
	Operator string            `json:"operator"`
	At       time.Time         `json:"at"`
	Kind     string            `json:"kind"`
	Profile  model.ProfileName `json:"profile"`
	Service  model.ServiceID   `json:"service,omitempty"`

	DataCentre model.DataCentre `json:"data_centre,omitempty"`
}

// State is the encoded form of a register.State.
type State struct {
	Revision model.Revision                        `json:"revision"`
	Profiles []profile                             `json:"profiles"`
	Services map[model.ServiceID]model.ProfileName `json:"services,omitempty"`
	History  []change                              `json:"history,omitempty"`
	Routing  *routing                              `json:"routing,omitempty"`

	Evacuations map[model.DataCentre]evacuation `json:"evacuations,omitempty"`
}

// EncodeState returns the encoded form of s; nil when s is nil.
func EncodeState(s *register.State) *State {
	if s == nil {
		return nil
	}
	encoded := &State{Revision: s.Revision(), Services: s.Set.Services}
	for _, p := range s.Set.Profiles {
		encoded.Profiles = append(encoded.Profiles, profile(p))
	}
	slices.SortFunc(encoded.Profiles, func(a, b profile) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for _, c := range s.History {
		encoded.History = append(encoded.History, change(c))
	}
	encoded.Routing, encoded.Evacuations = encodeRouting(s.Set.Routing), encodeEvacuations(s.Set.Evacuations)
	return encoded
}

// Decode returns the state; nil when s is nil.
func (s *State) Decode() *register.State {
	if s == nil {
		return nil
	}
	decoded := &register.State{Set: model.ProfileSet{
		Revision: s.Revision,
		Profiles: make(map[model.ProfileName]model.Profile, len(s.Profiles)),
		Services: s.Services,
		Routing:  s.Routing.decode(),

		Evacuations: decodeEvacuations(s.Evacuations),
	}}
	if decoded.Set.Services == nil {
		decoded.Set.Services = make(map[model.ServiceID]model.ProfileName)
	}
	for _, p := range s.Profiles {
		decoded.Set.Profiles[p.Name] = model.Profile(p)
	}
	for _, c := range s.History {
		decoded.History = append(decoded.History, model.ProfileChange(c))
	}
	return decoded
}

// Edit is the encoded form of a model.ProfileEdit that is passed to a replica.
type Edit struct {
	ID       string            `json:"id"`
	Digest   uint64            `json:"digest"`
	Expect   model.Revision    `json:"expect"`
	Operator string            `json:"operator"`
	Kind     model.EditKind    `json:"kind"`
	Name     model.ProfileName `json:"name"`
	Profile  profile           `json:"profile"`
	Service  model.ServiceID   `json:"service"`
	Routing  *routing          `json:"routing,omitempty"`
	WaitMS   int64             `json:"wait_ms"`

	DataCentre model.DataCentre `json:"data_centre,omitempty"`
}

// EncodeEdit returns the encoded form of e, to be answered within wait.
func EncodeEdit(e model.ProfileEdit, wait time.Duration) Edit {
	return Edit{
		ID: e.ID, Digest: e.Digest, Expect: e.Expect, Operator: e.Operator, Kind: e.Kind, Name: e.Name,
		Profile: profile(e.Profile), Service: e.Service, Routing: encodeRouting(e.Routing), WaitMS: wait.Milliseconds(),
		DataCentre: e.DataCentre,
	}
}

// Decode returns the edit and the time within which it is to be answered.
func (e Edit) Decode() (model.ProfileEdit, time.Duration) {
	return model.ProfileEdit{
		ID: e.ID, Digest: e.Digest, Expect: e.Expect, Operator: e.Operator, Kind: e.Kind, Name: e.Name,
		Profile: model.Profile(e.Profile), Service: e.Service, Routing: e.Routing.decode(), DataCentre: e.DataCentre,
	}, time.Duration(e.WaitMS) * time.Millisecond
}

// Result is the encoded form of a model.EditResult.
type Result struct {
	Status   model.EditStatus `json:"status"`
	Run      model.RunState   `json:"run,omitempty"`
	Revision model.Revision   `json:"revision"`
}

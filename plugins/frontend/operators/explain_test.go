package operators

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// fakePlanner answers with a fixed explanation and keeps the job.
type fakePlanner struct {
	port.Membership
	job model.Job
}

func (f *fakePlanner) Self() port.Node { return port.Node{ID: "n1"} }

func (f *fakePlanner) Explain(job model.Job) port.Explanation {
	f.job = job
	pool := model.PoolID{Service: "finder", DataCentre: "sj1"}
	return port.Explanation{
		Revision: 3, Why: "near", Evacuated: []model.DataCentre{"sj1"}, Pools: []model.PoolLoad{{Pool: pool, Owner: "n1", Slots: 8, Free: 2, Age: 5 * time.Millisecond}},
		Parts: []port.ExplainedPart{{PlanPart: port.PlanPart{Pool: pool, Owner: "n1", Tasks: []int{0}}, Owned: true, Verdict: port.Verdict{Reason: model.ReasonOverload}}},
	}
}

// Guards against a field of an explanation that operators do not get, and against a body that is misread or accepted although invalid.
func TestExplanationAsJSON(t *testing.T) {
	is := is.New(t)
	planner := &fakePlanner{}
	handler := http.HandlerFunc((&Frontend{planner: planner, membership: planner}).explainJob)
	body := `{"service":"finder","team":"t","deadline_ms":2000,"priority":2,"objective":{"stretch":1.6,"slack_ms":60,"useful":3},"tasks":[{"payload":{"a":1},"run_ms":50,"needs":{"cores":2}}]}`
	is.Equal(strings.TrimSpace(call(handler, http.MethodPost, "/v1/explain", body, nil).Body.String()),
		`{"node":"n1","revision":3,"why":"near","parts":[{"pool":"`+model.PoolID{Service: "finder", DataCentre: "sj1"}.String()+
			`","owner":"n1","tasks":1,"verdict":"refused","reason":"overload"}],"pools":[{"pool":"`+model.PoolID{Service: "finder", DataCentre: "sj1"}.String()+
			`","owner":"n1","slots":8,"free":2,"queued":0,"queued_run_ms":0,"mean_run_ms":0,"age_ms":5,"evacuated":true}]}`)
	is.Equal(planner.job.Tasks[0].Needs.MilliCores, 2*model.MilliCoresPerCore)
	is.Equal(planner.job.Objective, model.Objective{Stretch: 1.6, Slack: 60 * time.Millisecond, Useful: 3})
	is.Equal(planner.job.Priority, 2)
	for _, invalid := range []string{
		`{}`, `{"service":"s","team":"t","tasks":[]}`, `{"service":"s","team":"t","tasks":[{"run_ms":-1}]}`, `{"unknown":1}`,
		`{"service":"s","team":"t","tasks":[{}],"priority":5}`, `{"service":"s","team":"t","tasks":[{}],"objective":{"useful":-1}}`,
	} {
		is.Equal(call(handler, http.MethodPost, "/v1/explain", invalid, nil).Code, http.StatusBadRequest)
	}
}

package operators

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

// fakeRegister answers each edit with answer and records the edits.
type fakeRegister struct {
	set     model.ProfileSet
	learned bool
	answer  model.EditResult
	edits   []model.ProfileEdit
	places  port.ReplicaPlaces
}

func (f *fakeRegister) Current() (model.ProfileSet, bool) { return f.set, f.learned }
func (f *fakeRegister) Changed() <-chan struct{}          { return nil }
func (f *fakeRegister) Replica() port.ReplicaState        { return port.ReplicaVoter }

func (f *fakeRegister) Places(context.Context) port.ReplicaPlaces { return f.places }

func (f *fakeRegister) History() []model.ProfileChange {
	return []model.ProfileChange{
		{Revision: 1, Operator: "ana", Kind: string(model.PutProfile), Profile: "finder"},
		{Revision: 2, Operator: "ion", Kind: string(model.SetService), Profile: "default", Service: "s"},
	}
}

func (f *fakeRegister) Edit(_ context.Context, edit model.ProfileEdit) model.EditResult {
	f.edits = append(f.edits, edit)
	return f.answer
}

func newFrontend() (*fakeRegister, http.Handler) {
	register := &fakeRegister{set: model.BuiltInProfiles(), learned: true}
	register.set.Revision = 7
	register.answer = model.EditResult{Status: model.EditDone, Revision: 8}
	f := &Frontend{
		profiles: register, register: register,
		policies: policies{placements: []string{"least_wait"}, admissions: []string{"deadline"}},
	}
	mux := http.NewServeMux()
	f.handleProfiles(mux)
	f.handleEvacuations(mux)
	return register, mux
}

func call(handler http.Handler, method, path, body string, headers map[string]string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// validHeaders returns the headers of a valid edit.
func validHeaders() map[string]string {
	return map[string]string{headerIfMatch: `"7"`, headerKey: "key", headerOperator: "ana"}
}

func TestPutProfileSubmitsEdit(t *testing.T) {
	is := is.New(t)
	register, handler := newFrontend()
	answer := call(handler, http.MethodPut, "/v1/profiles/finder", `{"queue_tasks":9,"quotas":{"t1":50}}`, validHeaders())
	is.Equal(answer.Code, http.StatusOK)
	is.Equal(strings.TrimSpace(answer.Body.String()), `{"revision":8}`)
	is.Equal(answer.Header().Get(headerETag), `"8"`)
	edit := register.edits[0]
	is.Equal(edit.ID, "key")
	is.Equal(edit.Operator, "ana")
	is.Equal(edit.Expect, model.Revision(7))
	is.Equal(edit.Profile.QueueTasks, 9)
	is.Equal(edit.Profile.Quotas, map[model.TeamID]float64{"t1": 50})
	is.Equal(edit.Profile.DrainTime, model.BuiltInProfile().DrainTime) // A field that the declaration leaves out.
}

func TestInvalidEditNamesFieldAndSubmitsNothing(t *testing.T) {
	without := func(name string) map[string]string {
		headers := validHeaders()
		delete(headers, name)
		return headers
	}
	with := func(name, value string) map[string]string {
		headers := validHeaders()
		headers[name] = value
		return headers
	}
	const profile, service = "/v1/profiles/finder", "/v1/services/s"
	cases := []struct {
		name, path, body string
		headers          map[string]string
		status           int
		detail           string
	}{
		{"broken JSON", profile, `{`, validHeaders(), 400, "(root)"},
		{"unknown field", profile, `{"queue":1}`, validHeaders(), 400, "queue: no such key"},
		{"duplicate field", profile, `{"queue_tasks":1,"queue_tasks":2}`, validHeaders(), 400, "queue_tasks: is a duplicate"},
		{"wrong type", profile, `{"queue_tasks":"1"}`, validHeaders(), 400, "queue_tasks: must be"},
		{"another name", profile, `{"name":"auction"}`, validHeaders(), 400, "name: must be"},
		{"bad name", "/v1/profiles/Finder", `{}`, validHeaders(), 400, "name: must be"},
		{"unknown placement", profile, `{"placement":"x"}`, validHeaders(), 400, "placement: must be one of least_wait"},
		{"unknown admission", profile, `{"admission":"x"}`, validHeaders(), 400, "admission: must be one of deadline"},
		{"no queue", profile, `{"queue_tasks":0}`, validHeaders(), 400, "queue_tasks"},
		{"negative time", profile, `{"drain_ms":-1}`, validHeaders(), 400, "drain_ms"},
		{"time out of range", profile, `{"max_deadline_ms":9223372036854775807}`, validHeaders(), 400, "max_deadline_ms"},
		{"deadline above the longest", profile, `{"max_deadline_ms":10,"default_deadline_ms":20}`, validHeaders(), 400, "default_deadline_ms"},
		{"retry budget", profile, `{"retry_budget":1.5}`, validHeaders(), 400, "retry_budget"},
		{"learn weight", profile, `{"learn_weight":0}`, validHeaders(), 400, "learn_weight"},
		{"negative quota", profile, `{"quotas":{"t1":-1}}`, validHeaders(), 400, "quotas.t1"},
		{"team without name", profile, `{"quotas":{"":1}}`, validHeaders(), 400, "quotas"},
		{"trailing data", profile, `{} {}`, validHeaders(), 400, "after"},
		{"no revision", profile, `{}`, without(headerIfMatch), 428, headerIfMatch},
		{"bad revision", profile, `{}`, with(headerIfMatch, `"x"`), 400, headerIfMatch},
		{"no key", profile, `{}`, without(headerKey), 400, headerKey},
		{"long key", profile, `{}`, with(headerKey, strings.Repeat("k", maxHeader+1)), 400, headerKey},
		{"long operator", profile, `{}`, with(headerOperator, strings.Repeat("k", maxHeader+1)), 400, headerOperator},
		{"service without profile", service, `{}`, validHeaders(), 400, "profile: must be set"},
		{"long service", "/v1/services/" + strings.Repeat("s", maxNameLength+1), `{"profile":"default"}`, validHeaders(), 400, "service"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			register, handler := newFrontend()
			answer := call(handler, http.MethodPut, c.path, c.body, c.headers)
			is.Equal(answer.Code, c.status)
			is.Equal(answer.Header().Get("Content-Type"), "application/problem+json")
			is.True(strings.Contains(answer.Body.String(), c.detail)) // The detail names the field.
			is.Equal(len(register.edits), 0)
		})
	}
}

func TestRefusedEditReportsRunState(t *testing.T) {
	cases := []struct {
		result model.EditResult
		status int
	}{
		{model.EditResult{Status: model.EditStale, Run: model.NotRun}, http.StatusPreconditionFailed},
		{model.EditResult{Status: model.EditKeyReused, Run: model.NotRun}, http.StatusUnprocessableEntity},
		{model.EditResult{Status: model.EditNotFound, Run: model.NotRun}, http.StatusNotFound},
		{model.EditResult{Status: model.EditInUse, Run: model.NotRun}, http.StatusConflict},
		{model.EditResult{Status: model.EditTooMany, Run: model.NotRun}, http.StatusConflict},
		{model.EditResult{Status: model.EditNoMajority, Run: model.NotRun}, http.StatusServiceUnavailable},
		{model.EditResult{Status: model.EditNoMajority, Run: model.MayHaveRun}, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(string(c.result.Status)+" "+string(c.result.Run), func(t *testing.T) {
			is := is.New(t)
			register, handler := newFrontend()
			register.answer = c.result
			answer := call(handler, http.MethodDelete, "/v1/profiles/finder", "", validHeaders())
			is.Equal(answer.Code, c.status)
			var problem editProblem
			is.NoErr(json.Unmarshal(answer.Body.Bytes(), &problem))
			is.Equal(problem.Reason, string(c.result.Status))
			is.Equal(problem.Run, c.result.Run)
		})
	}
}

func TestReadsAreRefusedBeforeARevisionIsLearned(t *testing.T) {
	register, handler := newFrontend()
	register.learned = false
	for _, path := range []string{"/v1/profiles", "/v1/profiles/default", "/v1/services", "/v1/services/s", "/v1/history"} {
		is := is.New(t)
		answer := call(handler, http.MethodGet, path, "", nil)
		is.Equal(answer.Code, http.StatusServiceUnavailable)
	}
}

func TestProfileHistoryListsOnlyItsChanges(t *testing.T) {
	is := is.New(t)
	_, handler := newFrontend()
	var body historyBody
	is.NoErr(json.Unmarshal(call(handler, http.MethodGet, "/v1/profiles/finder/history", "", nil).Body.Bytes(), &body))
	is.Equal(len(body.Changes), 1)
	is.Equal(body.Changes[0].Operator, "ana")
}

func TestShippedProfilesAreValid(t *testing.T) {
	for _, name := range []string{"finder", "auction"} {
		is := is.New(t)
		raw, err := os.ReadFile("../../../profiles/" + name + ".json")
		is.NoErr(err)
		body := newProfileBody(model.BuiltInProfile())
		is.NoErr(settings.DecodeStrict(raw, "", &body))
		is.NoErr(body.check(policies{placements: []string{"least_wait"}, admissions: []string{"deadline"}}))
		is.Equal(string(body.Name), name)
		is.Equal(newProfileBody(body.profile()), body) // No field is lost in the conversion.
	}
}

func FuzzPutProfile(f *testing.F) {
	f.Add(`{"queue_tasks":9,"quotas":{"t1":50}}`, `"7"`)
	f.Add(`{"name":"finder","learn_weight":1e308}`, `7`)
	f.Add(`[[[{"a":{"a":1}}]]]`, `"`)
	f.Fuzz(func(t *testing.T, body, match string) {
		register, handler := newFrontend()
		headers := validHeaders()
		headers[headerIfMatch] = match
		answer := call(handler, http.MethodPut, "/v1/profiles/finder", body, headers)
		if (answer.Code == http.StatusOK) != (len(register.edits) == 1) {
			t.Fatalf("status %d with %d edits", answer.Code, len(register.edits))
		}
		if len(register.edits) == 1 && register.edits[0].Profile.QueueTasks < 1 {
			t.Fatalf("an invalid profile was submitted")
		}
	})
}

// Guards against an order that is submitted as another edit, and against a list that includes evacuations that have ended.
func TestEvacuationsAreListedAndOrdered(t *testing.T) {
	is := is.New(t)
	register, handler := newFrontend()
	register.set.Evacuations = map[model.DataCentre]model.Evacuation{"sj2": {Active: true}, "sj1": {Active: true}, "sj3": {}}
	answer := call(handler, http.MethodGet, "/v1/evacuations", "", nil)
	is.Equal(strings.TrimSpace(answer.Body.String()), `{"evacuated":["sj1","sj2"],"revision":7}`)
	is.Equal(call(handler, http.MethodPut, "/v1/evacuations/a%20b", "", validHeaders()).Code, http.StatusBadRequest)
	for method, kind := range map[string]model.EditKind{http.MethodPut: model.Evacuate, http.MethodDelete: model.EndEvacuation} {
		register.edits = nil
		is.Equal(call(handler, method, "/v1/evacuations/sj3", "", validHeaders()).Code, http.StatusOK)
		is.Equal(register.edits[0].Kind, kind)
		is.Equal(register.edits[0].DataCentre, model.DataCentre("sj3"))
	}
}

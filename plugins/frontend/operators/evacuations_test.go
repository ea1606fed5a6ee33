package operators

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against an order that is submitted as another edit, and against a list that includes evacuations that have ended.
func TestEvacuationsAreListedAndOrdered(t *testing.T) {
	is := is.New(t)
	register, handler := newFrontend()
	register.set.Evacuations = map[model.DataCentre]model.Evacuation{"sj2": {Active: true}, "sj1": {Active: true}, "sj3": {}}
	answer := call(handler, http.MethodGet, "/v1/evacuations", "", nil)
	is.Equal(strings.TrimSpace(answer.Body.String()), `{"evacuated":["sj1","sj2"],"revision":7}`)
	is.Equal(call(handler, http.MethodPut, "/v1/evacuations/sj3", "", validHeaders()).Code, http.StatusOK)
	is.Equal(call(handler, http.MethodDelete, "/v1/evacuations/sj1", "", validHeaders()).Code, http.StatusOK)
	is.Equal(call(handler, http.MethodPut, "/v1/evacuations/a%20b", "", validHeaders()).Code, http.StatusBadRequest)
	is.Equal(call(handler, http.MethodPut, "/v1/evacuations/sj3", "", nil).Code, http.StatusPreconditionRequired)
	is.Equal(len(register.edits), 2)
	is.Equal(register.edits[0].Kind, model.Evacuate)
	is.Equal(register.edits[0].DataCentre, model.DataCentre("sj3"))
	is.Equal(register.edits[0].Expect, model.Revision(7))
	is.Equal(register.edits[1].Kind, model.EndEvacuation)
	register.answer = refusedEdit(model.EditStale)
	is.Equal(call(handler, http.MethodPut, "/v1/evacuations/sj3", "", validHeaders()).Code, http.StatusPreconditionFailed)
}

func refusedEdit(status model.EditStatus) model.EditResult {
	return model.EditResult{Status: status, Run: model.NotRun, Revision: 8}
}

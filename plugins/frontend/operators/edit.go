package operators

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/frontend/web"
)

// edit completes the edit from the request's headers, submits it to the register and answers with
// the result.
func (f *Frontend) edit(w http.ResponseWriter, r *http.Request, edit model.ProfileEdit) {
	if r.Header.Get(headerIfMatch) == "" {
		web.Refuse(w, http.StatusPreconditionRequired, "precondition_required", headerIfMatch+": must name the revision that the change was made for")
		return
	}
	if err := readHeaders(r, &edit); err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	edit.Digest = digest(edit)
	f.writeEditResult(w, edit, f.register.Edit(r.Context(), edit))
}

// readHeaders sets the expected revision, the id and the operator of the edit from the request's
// headers.
func readHeaders(r *http.Request, edit *model.ProfileEdit) error {
	expect, err := strconv.ParseUint(strings.Trim(r.Header.Get(headerIfMatch), `"`), 10, 64)
	if err != nil {
		return errors.Newf("%s: must be a revision in quotes", headerIfMatch)
	}
	edit.Expect = model.Revision(expect)
	edit.ID = r.Header.Get(headerKey)
	if edit.ID == "" || len(edit.ID) > maxHeader {
		return errors.Newf("%s: must have 1 to %d characters", headerKey, maxHeader)
	}
	edit.Operator = r.Header.Get(headerOperator)
	if len(edit.Operator) > maxHeader {
		return errors.Newf("%s: must have at most %d characters", headerOperator, maxHeader)
	}
	if edit.Operator == "" {
		edit.Operator = anonymous
	}
	return nil
}

// digest returns a hash of the edit's content, without its id and operator. The hash does not depend
// on the order of maps, because the JSON encoder sorts their keys.
func digest(edit model.ProfileEdit) uint64 {
	edit.ID, edit.Operator, edit.Digest = "", "", 0
	encoded, err := json.Marshal(edit)
	if err != nil {
		return 0 // Not reached: only NaN or infinite numbers fail to encode, and check rejects them.
	}
	return xxhash.Sum64(encoded)
}

type revisionBody struct {
	Revision model.Revision `json:"revision"`
}

// editProblem is the response to an edit that failed. Run tells whether the edit may still take
// effect.
type editProblem struct {
	web.Problem
	Run      model.RunState `json:"run"`
	Revision model.Revision `json:"revision"`
}

// writeEditResult answers an edit: with the new revision if it was accepted, otherwise with a problem.
func (f *Frontend) writeEditResult(w http.ResponseWriter, edit model.ProfileEdit, result model.EditResult) {
	if result.Status == model.EditDone {
		w.Header().Set(headerETag, strconv.Quote(strconv.FormatUint(uint64(result.Revision), 10)))
		web.WriteJSON(w, http.StatusOK, revisionBody{result.Revision})
		return
	}
	status, detail := editFailure(edit, result)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	problem := web.Problem{Title: http.StatusText(status), Status: status, Reason: string(result.Status), Detail: detail}
	web.WriteProblem(w, status, editProblem{problem, result.Run, result.Revision})
}

// editFailure returns the HTTP status and the detail for an edit that was not accepted.
func editFailure(edit model.ProfileEdit, result model.EditResult) (status int, detail string) {
	switch result.Status {
	case model.EditStale:
		if edit.DataCentre != "" {
			return http.StatusPreconditionFailed, headerIfMatch + ": the data centre's evacuation has changed since that revision"
		}
		return http.StatusPreconditionFailed, headerIfMatch + ": the register is at another revision"
	case model.EditKeyReused:
		return http.StatusUnprocessableEntity, headerKey + ": belongs to another change"
	case model.EditNotFound:
		if edit.Kind == model.SetService {
			return http.StatusBadRequest, "profile: there is no such profile"
		}
		return http.StatusNotFound, "name: there is no such profile"
	case model.EditInUse:
		return http.StatusConflict, "name: the profile is the default one, or a service has chosen it"
	case model.EditTooMany:
		return http.StatusConflict, "name: the register already holds its maximum number of profiles, services or evacuated data centres"
	}
	return http.StatusServiceUnavailable, "no majority of the replicas has answered"
}

package operators

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/frontend/web"
)

const (
	headerIfMatch  = "If-Match"
	headerKey      = "Idempotency-Key"
	headerOperator = "Redwing-Operator"
	headerETag     = "ETag"
	maxHeader      = 128 // Limit on an idempotency key or an operator's name, in bytes.
	anonymous      = "anonymous"
	retryAfter     = "1"         // Value of the Retry-After header, in seconds.
	maxWatch       = time.Minute // Longest wait of listProfiles for a new revision.
)

func (f *Frontend) handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/profiles", f.listProfiles)
	mux.HandleFunc("GET /v1/profiles/{name}", f.getProfile)
	mux.HandleFunc("PUT /v1/profiles/{name}", f.putProfile)
	mux.HandleFunc("DELETE /v1/profiles/{name}", f.deleteProfile)
	mux.HandleFunc("GET /v1/profiles/{name}/history", f.listProfileHistory)
	mux.HandleFunc("GET /v1/history", f.listHistory)
	mux.HandleFunc("GET /v1/services", f.listServices)
	mux.HandleFunc("GET /v1/services/{service}", f.getService)
	mux.HandleFunc("PUT /v1/services/{service}", f.setService)
}

type profilesBody struct {
	Revision model.Revision `json:"revision"`
	Profiles []profileBody  `json:"profiles"`
}

// listProfiles answers with all profiles. If the query has after and wait_ms, it first waits up to
// wait_ms for a revision above after.
func (f *Frontend) listProfiles(w http.ResponseWriter, r *http.Request) {
	if err := f.awaitRevision(r); err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	set, ok := f.current(w)
	if !ok {
		return
	}
	body := profilesBody{Revision: set.Revision, Profiles: []profileBody{}}
	for _, p := range set.Profiles {
		body.Profiles = append(body.Profiles, newProfileBody(p))
	}
	slices.SortFunc(body.Profiles, func(a, b profileBody) int { return strings.Compare(string(a.Name), string(b.Name)) })
	web.WriteJSON(w, http.StatusOK, body)
}

// awaitRevision waits for the revision that the request's query asks for, at most for maxWatch. It
// returns an error only for an invalid query.
func (f *Frontend) awaitRevision(r *http.Request) error {
	query := r.URL.Query()
	if !query.Has("after") {
		return nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return errors.New("after: must be a revision")
	}
	wait, err := strconv.ParseUint(query.Get("wait_ms"), 10, 31)
	if err != nil {
		return errors.New("wait_ms: must be a number of milliseconds")
	}
	timer := time.NewTimer(min(milliseconds(int64(wait)), maxWatch))
	defer timer.Stop()
	for {
		changed := f.register.Changed()
		if set, ok := f.profiles.Current(); ok && set.Revision > model.Revision(after) {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}

// current returns the profiles in force. It answers 503 and returns false until a first revision is
// learned. It sets the ETag header to the revision, which an edit must carry as If-Match.
func (f *Frontend) current(w http.ResponseWriter) (model.ProfileSet, bool) {
	set, ok := f.profiles.Current()
	if !ok {
		w.Header().Set("Retry-After", retryAfter)
		web.Refuse(w, http.StatusServiceUnavailable, string(model.ReasonNoProfile), "no revision is learned yet")
		return set, false
	}
	w.Header().Set(headerETag, strconv.Quote(strconv.FormatUint(uint64(set.Revision), 10)))
	return set, true
}

func (f *Frontend) getProfile(w http.ResponseWriter, r *http.Request) {
	set, ok := f.current(w)
	if !ok {
		return
	}
	profile, ok := set.Profiles[model.ProfileName(r.PathValue("name"))]
	if !ok {
		web.Refuse(w, http.StatusNotFound, "not_found", "name: there is no such profile")
		return
	}
	web.WriteJSON(w, http.StatusOK, newProfileBody(profile))
}

func (f *Frontend) putProfile(w http.ResponseWriter, r *http.Request) {
	name := model.ProfileName(r.PathValue("name"))
	body := newProfileBody(model.BuiltInProfile())
	body.Name = name
	err := web.Decode(w, r, &body)
	if err == nil && body.Name != name {
		err = errors.New("name: must be the name in the path")
	}
	if err == nil {
		err = body.check(f.policies)
	}
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	f.edit(w, r, model.ProfileEdit{Kind: model.PutProfile, Name: name, Profile: body.profile()})
}

func (f *Frontend) deleteProfile(w http.ResponseWriter, r *http.Request) {
	f.edit(w, r, model.ProfileEdit{Kind: model.DeleteProfile, Name: model.ProfileName(r.PathValue("name"))})
}

type servicesBody struct {
	Revision model.Revision                        `json:"revision"`
	Services map[model.ServiceID]model.ProfileName `json:"services"`
}

func (f *Frontend) listServices(w http.ResponseWriter, _ *http.Request) {
	if set, ok := f.current(w); ok {
		web.WriteJSON(w, http.StatusOK, servicesBody{set.Revision, set.Services})
	}
}

type serviceBody struct {
	Profile model.ProfileName `json:"profile"`
}

func (f *Frontend) getService(w http.ResponseWriter, r *http.Request) {
	set, ok := f.current(w)
	if !ok {
		return
	}
	profile, ok := set.For(model.ServiceID(r.PathValue("service")))
	if !ok {
		web.Refuse(w, http.StatusNotFound, "not_found", "profile: the service's profile is not in the register")
		return
	}
	web.WriteJSON(w, http.StatusOK, serviceBody{profile.Name})
}

func (f *Frontend) setService(w http.ResponseWriter, r *http.Request) {
	service := model.ServiceID(r.PathValue("service"))
	var body serviceBody
	err := web.Decode(w, r, &body)
	if err == nil && body.Profile == "" {
		err = errors.New("profile: must be set")
	}
	if err == nil && (service == "" || len(service) > maxNameLength) {
		err = errors.New("service: must have 1 to 64 characters")
	}
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	f.edit(w, r, model.ProfileEdit{Kind: model.SetService, Name: body.Profile, Service: service})
}

type changeBody struct {
	Revision model.Revision    `json:"revision"`
	At       time.Time         `json:"at"`
	Operator string            `json:"operator"`
	Change   string            `json:"change"` // Kind of the edit.
	Profile  model.ProfileName `json:"profile"`
	Service  model.ServiceID   `json:"service,omitempty"`

	DataCentre model.DataCentre `json:"data_centre,omitempty"`

	Key string `json:"idempotency_key"` // Id of the edit, chosen by the operator.
}

type historyBody struct {
	Changes []changeBody `json:"changes"` // From oldest to newest.
}

func (f *Frontend) listHistory(w http.ResponseWriter, _ *http.Request) { f.writeHistory(w, "") }

func (f *Frontend) listProfileHistory(w http.ResponseWriter, r *http.Request) {
	f.writeHistory(w, model.ProfileName(r.PathValue("name")))
}

// writeHistory answers with the changes of one profile, or with all changes if name is "".
func (f *Frontend) writeHistory(w http.ResponseWriter, name model.ProfileName) {
	if _, ok := f.current(w); !ok {
		return
	}
	body := historyBody{Changes: []changeBody{}}
	for _, c := range f.register.History() {
		if name == "" || c.Profile == name {
			body.Changes = append(body.Changes, changeBody{c.Revision, c.At, c.Operator, c.Kind, c.Profile, c.Service, c.DataCentre, c.ID})
		}
	}
	web.WriteJSON(w, http.StatusOK, body)
}

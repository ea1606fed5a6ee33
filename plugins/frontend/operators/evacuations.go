package operators

import (
	"net/http"
	"slices"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/frontend/web"
)

func (f *Frontend) handleEvacuations(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/evacuations", f.listEvacuations)
	mux.HandleFunc("PUT /v1/evacuations/{data_centre}", func(w http.ResponseWriter, r *http.Request) { f.orderEvacuation(w, r, model.Evacuate) })
	mux.HandleFunc("DELETE /v1/evacuations/{data_centre}", func(w http.ResponseWriter, r *http.Request) { f.orderEvacuation(w, r, model.EndEvacuation) })
}

type evacuationsBody struct {
	Evacuated []model.DataCentre `json:"evacuated"`
	Revision  model.Revision     `json:"revision"`
}

// evacuated returns the evacuated data centres, sorted.
func evacuated(set model.ProfileSet) []model.DataCentre {
	active := set.ActiveEvacuations()
	slices.Sort(active)
	return active
}

func (f *Frontend) listEvacuations(w http.ResponseWriter, _ *http.Request) {
	if set, ok := f.current(w); ok {
		web.WriteJSON(w, http.StatusOK, evacuationsBody{evacuated(set), set.Revision})
	}
}

// orderEvacuation submits an order as an edit. If-Match names the revision by which the operator decided: the order is stale if
// the data centre's evacuation has changed since.
func (f *Frontend) orderEvacuation(w http.ResponseWriter, r *http.Request, kind model.EditKind) {
	dc := model.DataCentre(r.PathValue("data_centre"))
	if err := dc.CheckEvacuation(); err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	f.edit(w, r, model.ProfileEdit{Kind: kind, DataCentre: dc})
}

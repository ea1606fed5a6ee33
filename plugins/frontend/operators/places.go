package operators

import (
	"net/http"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/frontend/web"
)

// placesBody is the JSON form of a port.ReplicaPlaces, whose comments say what the fields hold.
type placesBody struct {
	Node      model.NodeID   `json:"node"`
	At        time.Time      `json:"at"`
	Takeovers bool           `json:"takeovers"`
	Majority  int            `json:"majority"`
	Voters    int            `json:"voters"`
	Places    []placeBody    `json:"places"`
	Spares    []model.NodeID `json:"spares"`
}

type placeBody struct {
	Place  model.NodeID    `json:"place"`
	Holder model.NodeID    `json:"holder"`
	State  port.PlaceState `json:"state"`
	Since  time.Time       `json:"since,omitzero"`
	AwayMS int64           `json:"away_ms,omitempty"`
	Wait   *placeWaitBody  `json:"wait,omitempty"`
}

type placeWaitBody struct {
	Kind   port.PlaceWaitKind `json:"kind"`
	Have   int                `json:"have"`
	Need   int                `json:"need"`
	LeftMS int64              `json:"left_ms,omitempty"`
	By     model.NodeID       `json:"by,omitempty"`
}

func encodePlace(p port.ReplicaPlace) placeBody {
	body := placeBody{Place: p.Place, Holder: p.Holder, State: p.State, Since: p.Since, AwayMS: p.Away.Milliseconds()}
	if w := p.Wait; w.Kind != port.WaitNothing {
		body.Wait = &placeWaitBody{w.Kind, w.Have, w.Need, w.Left.Milliseconds(), w.By}
	}
	return body
}

func (f *Frontend) listPlaces(w http.ResponseWriter, r *http.Request) {
	known := f.register.Places(r.Context())
	body := placesBody{
		Node: known.Node, At: known.At.UTC(), Takeovers: known.Takeovers, Majority: known.Majority, Voters: known.Voters,
		Places: []placeBody{}, Spares: append([]model.NodeID{}, known.Spares...),
	}
	for _, place := range known.Places {
		body.Places = append(body.Places, encodePlace(place))
	}
	web.WriteJSON(w, http.StatusOK, body)
}

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

// Guards against a field of the places that operators do not get, or get under another name or unit.
func TestPlacesAsJSON(t *testing.T) {
	is := is.New(t)
	register := &fakeRegister{places: port.ReplicaPlaces{
		Node: "n5", At: time.Unix(100, 0), Takeovers: true, Majority: 2, Voters: 1, Spares: []model.NodeID{"n3"},
		Places: []port.ReplicaPlace{
			{Place: "n0", Holder: "n4", State: port.PlaceAway, Away: 2100 * time.Millisecond, Wait: port.PlaceWait{Kind: port.WaitDelay, Left: 400 * time.Millisecond}},
			{Place: "n1", Holder: "n1", State: port.PlaceLearner, Since: time.Unix(50, 0).UTC(), Wait: port.PlaceWait{Kind: port.WaitVoters, Have: 1, Need: 2, By: "n3"}},
			{Place: "n2", Holder: "n2", State: port.PlaceVoter},
		},
	}}
	f := &Frontend{register: register}
	handler := http.HandlerFunc(f.listPlaces)
	is.Equal(strings.TrimSpace(call(handler, http.MethodGet, "/v1/places", "", nil).Body.String()),
		`{"node":"n5","at":"1970-01-01T00:01:40Z","takeovers":true,"majority":2,"voters":1,"places":[`+
			`{"place":"n0","holder":"n4","state":"away","away_ms":2100,"wait":{"kind":"delay","have":0,"need":0,"left_ms":400}},`+
			`{"place":"n1","holder":"n1","state":"learner","since":"1970-01-01T00:00:50Z","wait":{"kind":"voters","have":1,"need":2,"by":"n3"}},`+
			`{"place":"n2","holder":"n2","state":"voter"}],"spares":["n3"]}`)
	register.places = port.ReplicaPlaces{Node: "n5", At: time.Unix(100, 0)}
	is.Equal(strings.TrimSpace(call(handler, http.MethodGet, "/v1/places", "", nil).Body.String()),
		`{"node":"n5","at":"1970-01-01T00:01:40Z","takeovers":false,"majority":0,"voters":0,"places":[],"spares":[]}`)
}

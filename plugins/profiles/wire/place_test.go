package wire

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/occupancy"
)

// Guards against a report that loses a field on its way, and against one that shows a vote the holder never reported.
func TestPlaceReport_RoundTripAndMalformed(t *testing.T) {
	is := is.New(t)
	sent := occupancy.Report{State: port.PlaceLearner, Since: time.Unix(5, 0).UTC(), Wait: port.PlaceWait{Kind: port.WaitJoin, Have: 1, Need: 2}}
	raw, err := json.Marshal(EncodePlaceReport(&sent, Message{}))
	is.NoErr(err)
	var received PlaceReport
	is.NoErr(json.Unmarshal(raw, &received))
	is.Equal(*received.Decode(), sent)
	for _, malformed := range []PlaceReport{
		EncodePlaceReport(nil, Message{}), {State: "away"}, {State: "leader"}, {State: port.PlaceVoter, Wait: "takeover"},
		{State: port.PlaceLearner, Wait: port.WaitJoin, Need: -1},
	} {
		is.True(malformed.Decode() == nil)
	}
}

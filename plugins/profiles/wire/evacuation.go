package wire

import "redwingpulley/kernel/model"

// evacuation is the encoded form of a model.Evacuation.
type evacuation struct {
	Active  bool           `json:"active,omitempty"`
	Changed model.Revision `json:"changed"`
}

func encodeEvacuations(all map[model.DataCentre]model.Evacuation) map[model.DataCentre]evacuation {
	encoded := make(map[model.DataCentre]evacuation, len(all))
	for dc, e := range all {
		encoded[dc] = evacuation(e)
	}
	return encoded
}

// decodeEvacuations returns nil when there are none, as in the files of versions that know no evacuations.
func decodeEvacuations(all map[model.DataCentre]evacuation) map[model.DataCentre]model.Evacuation {
	if len(all) == 0 {
		return nil
	}
	decoded := make(map[model.DataCentre]model.Evacuation, len(all))
	for dc, e := range all {
		decoded[dc] = model.Evacuation(e)
	}
	return decoded
}

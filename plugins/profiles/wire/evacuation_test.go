package wire

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against a register file of an older version that cannot be read any more, or in which a data centre seems to be evacuated.
func TestDecode_StateOfVersionWithoutEvacuations(t *testing.T) {
	is := is.New(t)
	var older State
	is.NoErr(json.Unmarshal([]byte(`{"revision":3,"profiles":[{"name":"default"}],"history":[{"revision":3,"id":"x","kind":"put_profile"}]}`), &older))
	state := older.Decode()
	is.Equal(state.Revision(), model.Revision(3))
	is.True(!state.Set.Evacuated("sj1"))
	is.Equal(state.History[0].DataCentre, model.DataCentre(""))
}

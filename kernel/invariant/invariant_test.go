package invariant

import (
	"testing"

	"github.com/matryer/is"
)

func TestCheckPanicsWithNamedViolation(t *testing.T) {
	is := is.New(t)
	defer func() {
		v, ok := recover().(Violation)
		is.True(ok)
		is.Equal(v.Name, "slots")
		is.Equal(v.Error(), "invariant slots broken: 9 of 8")
	}()
	Check(true, "slots", "unused")
	Check(false, "slots", "%d of %d", 9, 8)
}

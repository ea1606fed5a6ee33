package model

import (
	"testing"

	"github.com/matryer/is"
)

func TestJobIDRoundTrip(t *testing.T) {
	is := is.New(t)
	parts := JobIDParts{Owner: "sj1-a", Incarnation: "abc", MintedMS: 1700000000000, Sequence: 77, Tag: "00ff"}
	parsed, ok := NewJobID(parts).Parse()
	is.True(ok)
	is.Equal(parsed, parts)
	id := NewJobID(parts)
	is.Equal(id.TaskID(159).Job(), id)
}

func TestJobIDParseRejectsInvalidIDs(t *testing.T) {
	is := is.New(t)
	for _, id := range []JobID{"", "a", "a.b.c.d", "a.b.-1.1.t", "a.b.1.x!.t", ".b.1.1.t", "a..1.1.t", "a.b.01.1.t", "a.b.1.1.t.u"} {
		_, ok := id.Parse()
		is.True(!ok)
	}
}

func FuzzJobIDParse(f *testing.F) {
	f.Add("sj1-a.abc.loyw3v28.25.00ff")
	f.Fuzz(func(t *testing.T, text string) {
		if parts, ok := JobID(text).Parse(); ok && NewJobID(parts) != JobID(text) {
			t.Fatalf("%q differs after parsing and formatting", text)
		}
	})
}

package model

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxEvacuations is the number of data centres whose evacuations the register keeps.
	MaxEvacuations = 64
	// maxDataCentreName is the length of a data centre's name in an order to evacuate it, in bytes.
	maxDataCentreName = 64
	// EvacuatedRetryAfter is when the caller of a job that is refused for an evacuation is advised to try again. Operators end an
	// evacuation at any time, and the pools then take work at once.
	EvacuatedRetryAfter = time.Second
)

// Evacuation says whether operators have a data centre evacuated: no task starts there.
type Evacuation struct {
	Active bool
	// Changed is the revision of the newest change of the data centre's evacuation. It serves as the number of that change:
	// it increases with each one, and a member that knows a revision knows the number.
	Changed Revision
}

// Evacuated reports whether no task may start in the data centre.
func (s ProfileSet) Evacuated(dc DataCentre) bool { return s.Evacuations[dc].Active }

// ActiveEvacuations returns the evacuated data centres, in no particular order.
func (s ProfileSet) ActiveEvacuations() []DataCentre {
	active := []DataCentre{}
	for dc, e := range s.Evacuations {
		if e.Active {
			active = append(active, dc)
		}
	}
	return active
}

// CheckEvacuation returns an error if an order to evacuate cannot name the data centre.
func (dc DataCentre) CheckEvacuation() error {
	if dc == "" || len(dc) > maxDataCentreName {
		return errors.Newf("data centre: must have 1 to %d characters", maxDataCentreName)
	}
	if strings.ContainsFunc(string(dc), func(r rune) bool { return !isNameRune(r) }) {
		return errors.New("data centre: must consist of letters, digits, '-', '_' and '.'")
	}
	return nil
}

func isNameRune(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("-_.", r)
}

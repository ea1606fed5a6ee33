// Package invariant stops the process when a promise of the dispatcher is about to be broken.
// Its checks are on in production: a wrong answer costs more than a restart.
package invariant

import "fmt"

// Violation is the value that a broken invariant panics with.
type Violation struct {
	Name   string
	Detail string
}

// Error describes the violation.
func (v Violation) Error() string {
	return "invariant " + v.Name + " broken: " + v.Detail
}

// Check panics with a Violation when holds is false. The arguments are formatted only then.
func Check(holds bool, name, format string, args ...any) {
	if !holds {
		panic(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
	}
}

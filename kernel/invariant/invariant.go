// Package invariant stops the process when one of the dispatcher's guarantees is about to be
// violated. Its checks are enabled in production: a wrong answer costs more than a restart.
package invariant

import "fmt"

// Violation is the value with which Check panics.
type Violation struct {
	Name   string
	Detail string
}

// Error describes the violation.
func (v Violation) Error() string {
	return "invariant " + v.Name + " broken: " + v.Detail
}

// Check panics with a Violation when holds is false. The arguments are formatted only in that case.
func Check(holds bool, name, format string, args ...any) {
	if !holds {
		panic(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
	}
}

// Package traces holds the traces that ship with the project.
package traces

import (
	"bytes"
	_ "embed" // For the traces.

	"redwingpulley/bench/trace"
)

//go:embed demo.jsonl
var demo []byte

// Demo returns a few hundred jobs of both users' workloads, which 12 endpoints of 8 slots can run
// in about ten seconds.
func Demo() ([]trace.Job, error) { return trace.Read(bytes.NewReader(demo)) }

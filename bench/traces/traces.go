// Package traces embeds the traces that ship with the project.
package traces

import (
	"bytes"
	_ "embed" // Supports the go:embed directive below.

	"redwingpulley/bench/trace"
)

//go:embed demo.jsonl
var demo []byte

// Demo returns a trace of a few hundred jobs for two services, which 12 endpoints with 8 slots each
// can run in about ten seconds.
func Demo() ([]trace.Job, error) { return trace.Read(bytes.NewReader(demo)) }

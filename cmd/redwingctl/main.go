// Command redwingctl is for operators, callers and experiments.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitRefused = 1 // The system said no.
	exitUsage   = 2 // Wrong usage or settings.
)

type commands struct {
	Bench benchCommands `cmd:"" help:"Stand-ins, load and comparison."`
}

type benchCommands struct {
	Endpoint endpointCommand `cmd:"" help:"Run a stand-in endpoint until SIGTERM."`
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("redwingctl"), kong.Description("redwingctl drives the redwingpulley dispatcher."), kong.Exit(exit))
	chosen, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "redwingctl:", err)
		os.Exit(exitRefused)
	}
}

// exit maps kong's code for wrong usage to this program's.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

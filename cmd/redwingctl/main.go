// Command redwingctl is for operators, callers and experiments.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit codes.
const (
	exitRefused = 1 // The system said no.
	exitUsage   = 2 // Wrong usage or settings.
	exitUnknown = 3 // The outcome is not known.
)

// exitError is an error for which the program exits with a code of its own.
type exitError struct {
	code int
	error
}

type commands struct {
	Demo   demoCommand   `cmd:"" help:"Run a small group inside this process and play a trace against it."`
	Submit submitCommand `cmd:"" help:"Submit a job as a caller."`
	Bench  benchCommands `cmd:"" help:"Stand-ins, load and comparison."`

	Profile   profileCommands  `cmd:"" help:"Read and publish profiles."`
	Service   serviceCommands  `cmd:"" help:"Read and choose the profiles of services."`
	Status    statusCommand    `cmd:"" help:"Print the state of an entry VM."`
	Endpoints endpointsCommand `cmd:"" help:"List the endpoints that an entry VM owns."`
	Drain     drainCommand     `cmd:"" help:"Drain an entry VM."`
	Explain   explainCommand   `cmd:"" help:"Tell the story of a request from the logs of any number of processes."`
	Settings  settingsCommands `cmd:"" help:"Write settings files."`
}

type benchCommands struct {
	Compare  compareCommand  `cmd:"" help:"Run the same load against each policy, side by side with the ideal."`
	Endpoint endpointCommand `cmd:"" help:"Run a stand-in endpoint until SIGTERM."`
	Load     loadCommand     `cmd:"" help:"Replay a trace against a running group."`
	Replay   replayCommand   `cmd:"" help:"Drive the decision code with recorded events and compare its decisions."`
	Trace    traceCommand    `cmd:"" help:"Write a trace of generated load."`
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("redwingctl"), kong.Description("redwingctl drives the redwingpulley dispatcher."), kong.Exit(exit))
	chosen, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "redwingctl:", err)
		os.Exit(codeOf(err))
	}
}

func codeOf(err error) int {
	var own exitError
	if errors.As(err, &own) {
		return own.code
	}
	return exitRefused
}

// exit maps kong's code for wrong usage to this program's.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

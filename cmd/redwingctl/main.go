// Command redwingctl is the command line tool for operators, callers and experiments.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit codes.
const (
	exitRefused = 1 // The request was refused or failed; also any error that has no other exit code.
	exitUsage   = 2 // Wrong usage or settings.
	exitUnknown = 3 // The outcome is not known: the request may have taken effect.
)

// exitError is an error that sets the program's exit code.
type exitError struct {
	code int
	error
}

type commands struct {
	Demo   demoCommand   `cmd:"" help:"Run a few entry VMs and endpoints inside this process and replay a trace against them."`
	Submit submitCommand `cmd:"" help:"Submit a job as a caller."`
	Bench  benchCommands `cmd:"" help:"Run stand-in endpoints, generate load and compare policies."`

	Profile    profileCommands    `cmd:"" help:"Read and publish profiles."`
	Service    serviceCommands    `cmd:"" help:"Read and choose the profiles of services."`
	Evacuation evacuationCommands `cmd:"" help:"Evacuate data centres."`
	Status     statusCommand      `cmd:"" help:"Print the state of an entry VM."`
	Places     placesCommand      `cmd:"" help:"Show who votes on profiles, which member holds which replica's place, and what a replacement waits for."`
	Endpoints  endpointsCommand   `cmd:"" help:"List the endpoints that an entry VM owns."`
	Where      whereCommand       `cmd:"" help:"Show where a job would go now, and why, without running it."`
	Drain      drainCommand       `cmd:"" help:"Drain an entry VM."`
	Explain    explainCommand     `cmd:"" help:"Show the timeline of a request from the logs of any number of processes."`
	Settings   settingsCommands   `cmd:"" help:"Write settings files."`
}

type benchCommands struct {
	Compare  compareCommand  `cmd:"" help:"Run the same load under each policy and compare the results with the ideal."`
	Endpoint endpointCommand `cmd:"" help:"Run a stand-in endpoint until SIGTERM."`
	Load     loadCommand     `cmd:"" help:"Replay a trace against running entry VMs."`
	Replay   replayCommand   `cmd:"" help:"Replay recorded events through the decision code and compare its decisions with the recorded ones."`
	Trace    traceCommand    `cmd:"" help:"Write a trace of generated load."`
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("redwingctl"), kong.Description("redwingctl drives the redwingpulley dispatcher."), kong.Exit(exit))
	chosen, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "redwingctl:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return exitRefused
}

// exit exits with exitUsage in place of kong's own code for wrong usage.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

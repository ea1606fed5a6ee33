// Command redwingd is the entry VM's process.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/plugin"
)

const (
	exitFailed  = 1
	exitUsage   = 2
	description = "redwingd is the entry VM's process of the redwingpulley dispatcher."
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Run the process until SIGTERM, which drains it."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and report all of its faults."`
	Plugins pluginsCommand `cmd:"" help:"List the linked plug-ins."`
}

type runCommand struct {
	Settings string `required:"" help:"Settings file (JSON)." type:"path" env:"REDWINGPULLEY_CONFIG"`
}

type checkCommand struct {
	Settings string `required:"" help:"Settings file (JSON)." type:"path"`
}

type pluginsCommand struct{}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the command line and returns the exit code.
func run(arguments []string) int {
	var c commands
	parser := kong.Must(&c, kong.Name("redwingd"), kong.Description(description), kong.Exit(exit))
	chosen, err := parser.Parse(arguments)
	parser.FatalIfErrorf(err)
	err = chosen.Run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "redwingd:", err)
	}
	return exitCode(err)
}

// exitCode returns the program's exit code for err, which kong may have wrapped.
func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitFailed
}

// exit exits with exitUsage in place of kong's own code for wrong usage.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

// Run checks the settings of the kernel and of all plug-ins without opening anything.
func (c *checkCommand) Run() error {
	if _, err := loadSettings(c.Settings); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

// Run lists the plug-ins.
func (pluginsCommand) Run() error {
	listPlugins(os.Stdout)
	return nil
}

func listPlugins(w io.Writer) {
	for _, d := range plugin.Registered() {
		fmt.Fprintf(w, "%-24s %s\n", d.ID, d.Summary)
	}
}

// usageError is a fault in the settings or arguments; the program then exits with code 2 (exitUsage).
type usageError struct{ error }

// Command redwingd is the entry VM's process.
package main

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"redwingpulley/cmd/internal/logline"
	"redwingpulley/cmd/internal/node"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/settings"
)

const (
	exitFailed  = 1
	exitUsage   = 2
	drainLimit  = time.Minute            // Longest wait for requests in flight at shutdown.
	lastLines   = 200 * time.Millisecond // For the log lines that are queued at the end.
	stopMargin  = 700 * time.Millisecond // For what follows the drain, where the process is killed soon.
	description = "redwingd is the entry VM's process of the redwingpulley dispatcher."
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Run the process until SIGTERM, which drains it."`
	Check   checkCommand   `cmd:"" help:"Name every fault of a settings file."`
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

// run carries out the command line and returns the exit code.
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

// exitCode returns the code with which the program ends after err, which kong may have wrapped.
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

// exit maps kong's code for wrong usage to this program's.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

// Run serves until a signal asks for the end.
func (c *runCommand) Run() error {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return usageError{err}
	}
	lines := logline.New(os.Stdout)
	defer lines.Close(lastLines)
	log := slog.New(slog.NewJSONHandler(lines, nil))
	slog.SetDefault(log) // For what libraries log by themselves.
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	host, err := node.Start(s, log)
	if err != nil {
		return err
	}
	log.Info("serving", "node", s.Node, "callers", s.Listen.Callers)
	c.serve(signals, reloads, host, log)
	log.Info("draining", "node", s.Node)
	ctx, cancel := context.WithTimeout(context.Background(), drainTime(s))
	defer cancel()
	err = node.Stop(ctx, host)
	log.Info("stopped", "node", s.Node)
	return err
}

// serve returns when the end is asked for. It reads the settings again at each reload signal.
func (c *runCommand) serve(signals context.Context, reloads <-chan os.Signal, host *plugin.Host, log *slog.Logger) {
	for {
		select {
		case <-reloads:
			s, err := settings.Read(c.Settings)
			if err != nil {
				log.Error("settings not reloaded", "error", err.Error())
				continue
			}
			host.Reload(s)
			log.Info("settings reloaded", "seeds", s.Seeds)
		case <-signals.Done():
			return
		case <-host.DrainRequested():
			return
		}
	}
}

// drainTime returns how long the process may drain.
func drainTime(s settings.Settings) time.Duration {
	if s.StopWithinS == 0 {
		return drainLimit
	}
	return max(time.Duration(s.StopWithinS*float64(time.Second))-stopMargin, 0)
}

// Run checks the settings of the kernel and of all plug-ins without opening anything.
func (c *checkCommand) Run() error {
	s, err := settings.Read(c.Settings)
	var unreadable *fs.PathError
	if errors.As(err, &unreadable) {
		return usageError{err}
	}
	_, faults := plugin.NewHost(s, slog.New(slog.DiscardHandler), plugin.Registered())
	if err := errors.Join(err, faults); err != nil {
		return usageError{err}
	}
	fmt.Println("settings are sound")
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

// usageError is a fault of the settings or arguments; the program exits with code 2.
type usageError struct{ error }

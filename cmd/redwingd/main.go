// Command redwingd is the entry VM's process.
package main

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	stdlog "log"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/cmd/internal/logline"
	"redwingpulley/cmd/internal/node"
	"redwingpulley/kernel/event"
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
	lines := logline.New(os.Stdout, logline.Options{PerSecond: s.Log.LinesPerSecond, Routine: s.Log.Routine})
	defer lines.Close(lastLines)
	log := lines.Logger().With(event.Text(event.Node, s.Node))
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLines{log})
	begun := time.Now()
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	host, err := node.Start(s, lines.Logger())
	if err != nil {
		event.ProcessFailed.Log(log, event.Err(err))
		return err
	}
	if err := host.Metrics.Register("log.lines_dropped", metrics.NewFunctionalGauge(lines.Dropped)); err != nil {
		return errors.CombineErrors(err, host.Stop())
	}
	event.ProcessStarted.Log(log, event.Text(event.DataCentre, s.DataCentre), event.List(event.Seeds, s.Seeds), event.MS(event.TookMS, time.Since(begun)))
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go watchReady(watching, host.Health, log)
	c.serve(signals, reloads, host, log)
	return end(s, host, log)
}

// libraryLines takes what libraries log by themselves, a line each time.
type libraryLines struct{ log *slog.Logger }

// Write logs a line.
func (l libraryLines) Write(line []byte) (int, error) {
	event.Library.Log(l.log, event.Text(event.Error, strings.TrimSpace(string(line))))
	return len(line), nil
}

// end drains and stops the process.
func end(s settings.Settings, host *plugin.Host, log *slog.Logger) error {
	begun := time.Now()
	event.ProcessDraining.Log(log, event.MS(event.LeftMS, drainTime(s)))
	ctx, cancel := context.WithTimeout(context.Background(), drainTime(s))
	defer cancel()
	err := node.Stop(ctx, host)
	fields := []slog.Attr{event.MS(event.TookMS, time.Since(begun))}
	if err != nil {
		fields = append(fields, event.Err(err))
	}
	event.ProcessStopped.Log(log, fields...)
	return err
}

// watchReady logs each change of what keeps the process from serving.
func watchReady(ctx context.Context, health *plugin.Health, log *slog.Logger) {
	told := ""
	for first := true; ; first = false {
		changed := health.Changed()
		_, why := health.Ready()
		switch now := strings.Join(why, "; "); {
		case now == told && !first:
		case now == "":
			event.Ready.Log(log)
			told = now
		default:
			event.NotReady.Log(log, event.Text(event.Condition, now))
			told = now
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// serve returns when the end is asked for. It reads the settings again at each reload signal.
func (c *runCommand) serve(signals context.Context, reloads <-chan os.Signal, host *plugin.Host, log *slog.Logger) {
	for {
		select {
		case <-reloads:
			s, err := settings.Read(c.Settings)
			if err != nil {
				event.SettingsRefused.Log(log, event.Err(err))
				continue
			}
			host.Reload(s)
			event.SettingsReloaded.Log(log, event.List(event.Seeds, s.Seeds))
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

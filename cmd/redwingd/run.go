package main

import (
	"context"
	stdlog "log"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/cmd/internal/logline"
	"redwingpulley/cmd/internal/node"
	"redwingpulley/kernel/event"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/settings"
)

const (
	drainLimit = time.Minute            // Longest wait for requests in flight at shutdown.
	lastLines  = 200 * time.Millisecond // For the log lines that are queued at the end.
	stopMargin = 700 * time.Millisecond // For what follows the drain, where the process is killed soon.
)

// process is the running program.
type process struct {
	path    string // Of the settings.
	inForce settings.Settings
	lines   *logline.Lines
	log     *slog.Logger
	host    *plugin.Host
}

// Run serves until a signal asks for the end.
func (c *runCommand) Run() error {
	begun := time.Now()
	read, err := stampOf(c.Settings)
	if err != nil {
		return usageError{err}
	}
	s, err := settings.Read(c.Settings)
	if err != nil {
		return usageError{err}
	}
	p := &process{path: c.Settings, inForce: s, lines: logline.New(os.Stdout, bounds(s))}
	defer p.lines.Close(lastLines)
	p.log = p.lines.Logger().With(event.Text(event.Node, s.Node))
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLines{p.log})
	ended, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	if err := p.start(begun); err != nil {
		event.ProcessFailed.Log(p.log, event.Err(err))
		return err
	}
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go watchReady(watching, p.host.Health, p.log)
	changed := make(chan struct{}, 1)
	go watchFile(watching, c.Settings, read, lookInterval, changed)
	p.serve(ended, reloads, changed)
	return p.end()
}

// start provisions and starts the plug-ins.
func (p *process) start(begun time.Time) (err error) {
	if p.host, err = node.New(p.inForce, p.lines.Logger()); err != nil {
		return usageError{err}
	}
	metrics.NewRegisteredFunctionalGauge("log.lines_dropped", p.host.Metrics, p.lines.Dropped)
	if err := p.host.Start(); err != nil {
		return err
	}
	event.ProcessStarted.Log(p.log, event.Text(event.DataCentre, p.inForce.DataCentre),
		event.List(event.Seeds, p.inForce.Seeds), event.MS(event.TookMS, time.Since(begun)))
	return nil
}

// bounds returns what settings let the log write.
func bounds(s settings.Settings) logline.Options {
	return logline.Options{PerSecond: s.Log.LinesPerSecond, Routine: s.Log.Routine}
}

// libraryLines takes what libraries log by themselves, a line each time.
type libraryLines struct{ log *slog.Logger }

// Write logs a line.
func (l libraryLines) Write(line []byte) (int, error) {
	event.Library.Log(l.log, event.Text(event.Error, strings.TrimSpace(string(line))))
	return len(line), nil
}

// serve returns when the end is asked for. It reads the settings again when they may have changed.
func (p *process) serve(ended context.Context, reloads <-chan os.Signal, changed <-chan struct{}) {
	for {
		select {
		case <-reloads:
			p.reload()
		case <-changed:
			p.reload()
		case <-ended.Done():
			return
		case <-p.host.DrainRequested():
			return
		}
	}
}

// end drains and stops the process.
func (p *process) end() error {
	begun, left := time.Now(), drainTime(p.inForce)
	event.ProcessDraining.Log(p.log, event.MS(event.LeftMS, left))
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := node.Stop(ctx, p.host)
	fields := []slog.Attr{event.MS(event.TookMS, time.Since(begun))}
	if err != nil {
		fields = append(fields, event.Err(err))
	}
	event.ProcessStopped.Log(p.log, fields...)
	return err
}

// drainTime returns how long the process may drain.
func drainTime(s settings.Settings) time.Duration {
	if s.StopWithinS == 0 {
		return drainLimit
	}
	return max(time.Duration(s.StopWithinS*float64(time.Second))-stopMargin, 0)
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

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
	maxDrainTime    = time.Minute            // Longest drain if the settings give no stop_within_s.
	logFlushTimeout = 200 * time.Millisecond // Maximum time to write the log lines that are queued at the end.
	stopMargin      = 700 * time.Millisecond // Time kept for the work after the drain, before the process is killed at stop_within_s.
)

// process is the state of the running program.
type process struct {
	path    string // Path of the settings file.
	inForce settings.Settings
	lines   *logline.Lines
	log     *slog.Logger
	host    *plugin.Host
}

// Run serves until SIGTERM, SIGINT or an operator's drain request, then drains and stops the process.
func (c *runCommand) Run() error {
	startedAt := time.Now()
	state, err := readFileState(c.Settings)
	if err != nil {
		return usageError{err}
	}
	s, err := settings.Read(c.Settings)
	if err != nil {
		return usageError{err}
	}
	p := &process{path: c.Settings, inForce: s, lines: logline.New(os.Stdout, logOptions(s))}
	defer p.lines.Close(logFlushTimeout)
	p.log = p.lines.Logger().With(event.Text(event.Node, s.Node))
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{p.log})
	shutdown, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	if err := p.start(startedAt); err != nil {
		event.ProcessFailed.Log(p.log, event.Err(err))
		return err
	}
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go logReadiness(watching, p.host.Health, p.log)
	changed := make(chan struct{}, 1)
	go watchFile(watching, c.Settings, state, pollInterval, changed)
	p.serve(shutdown, reloads, changed)
	return p.shutDown()
}

// start provisions and starts the plug-ins.
func (p *process) start(startedAt time.Time) (err error) {
	if p.host, err = node.New(p.inForce, p.lines.Logger()); err != nil {
		return usageError{err}
	}
	metrics.NewRegisteredFunctionalGauge("log.lines_dropped", p.host.Metrics, p.lines.Dropped)
	if err := p.host.Start(); err != nil {
		return err
	}
	event.ProcessStarted.Log(p.log, event.Text(event.DataCentre, p.inForce.DataCentre),
		event.List(event.Seeds, p.inForce.Seeds), event.MS(event.TookMS, time.Since(startedAt)))
	return nil
}

// logOptions returns the log's options as the settings give them.
func logOptions(s settings.Settings) logline.Options {
	return logline.Options{PerSecond: s.Log.LinesPerSecond, Routine: s.Log.Routine}
}

// libraryLog is the writer of the standard logger, through which libraries log. Each write is one line.
type libraryLog struct{ log *slog.Logger }

// Write logs a library's line.
func (l libraryLog) Write(line []byte) (int, error) {
	event.Library.Log(l.log, event.Text(event.Error, strings.TrimSpace(string(line))))
	return len(line), nil
}

// serve returns when the shutdown context ends, which SIGTERM and SIGINT cause, or when an operator requests a drain.
// It reloads the settings on SIGHUP and when their file has changed.
func (p *process) serve(shutdown context.Context, reloads <-chan os.Signal, changed <-chan struct{}) {
	for {
		select {
		case <-reloads:
			p.reload()
		case <-changed:
			p.reload()
		case <-shutdown.Done():
			return
		case <-p.host.DrainRequested():
			return
		}
	}
}

// shutDown drains and stops the process.
func (p *process) shutDown() error {
	startedAt, left := time.Now(), drainTime(p.inForce)
	event.ProcessDraining.Log(p.log, event.MS(event.LeftMS, left))
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := node.Stop(ctx, p.host)
	fields := []slog.Attr{event.MS(event.TookMS, time.Since(startedAt))}
	if err != nil {
		fields = append(fields, event.Err(err))
	}
	event.ProcessStopped.Log(p.log, fields...)
	return err
}

// drainTime returns how long the drain may take.
func drainTime(s settings.Settings) time.Duration {
	if s.StopWithinS == 0 {
		return maxDrainTime
	}
	return max(time.Duration(s.StopWithinS*float64(time.Second))-stopMargin, 0)
}

// logReadiness logs each change of the conditions that keep the process from being ready, until the context ends.
func logReadiness(ctx context.Context, health *plugin.Health, log *slog.Logger) {
	logged := ""
	for first := true; ; first = false {
		changed := health.Changed()
		_, reasons := health.Ready()
		switch now := strings.Join(reasons, "; "); {
		case now == logged && !first:
		case now == "":
			event.Ready.Log(log)
			logged = now
		default:
			event.NotReady.Log(log, event.Text(event.Condition, now))
			logged = now
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

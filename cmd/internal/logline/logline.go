// Package logline writes log lines without ever blocking the process that logs them. A line that exceeds
// the rate limit or finds the queue full is dropped and counted by its kind. Routine lines may use only a
// share of the rate and of the queue, which keeps the rest free for the other lines.
package logline

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"redwingpulley/kernel/event"
)

const (
	queueCapacity = 4096 // Lines that may wait to be written.
	routineShare  = 0.75 // Share of the queue and of the lines per second that routine lines may use.

	gatherTime = 50 * time.Millisecond // Longest time for which routine lines wait for others, to be written together.
	batchBytes = 32 << 10              // Size of a batch of lines from which on it is written.
)

// Options limit which lines are written and how many.
type Options struct {
	PerSecond int  // Lines that are accepted in one second; with 0, no line is written.
	Routine   bool // Whether lines of level event.Routine, about requests served as usual, are written.
}

// Lines is a bounded queue of log lines, which one goroutine writes to the target. Create one with New.
type Lines struct {
	options      atomic.Pointer[Options]
	target       io.Writer
	queue        chan []byte
	urgent       chan struct{} // Ends the wait for further lines; buffers one signal.
	done         chan struct{}
	dropReports  slog.Handler // Encodes lines_dropped lines into the queue; they are exempt from the rate limit.
	droppedTotal atomic.Int64 // Number of lines dropped so far.

	mu            sync.Mutex
	closed        bool
	currentSecond int64          // Unix time, in seconds, of the second that is being counted.
	admitted      int            // Lines admitted in that second.
	queued        int            // Lines that hold a place in the queue, from their admission until they are written.
	dropped       map[string]int // Lines dropped since the last report, by kind.
}

// New returns a log that writes to target in a goroutine of its own, which ends after Close.
func New(target io.Writer, options Options) *Lines {
	l := &Lines{
		target: target,
		queue:  make(chan []byte, queueCapacity), done: make(chan struct{}), dropped: make(map[string]int),
		urgent: make(chan struct{}, 1),
	}
	l.options.Store(&options)
	l.dropReports = l.encoder(true)
	go l.writeQueued()
	return l
}

// Logger returns a logger whose lines go into the queue.
func (l *Lines) Logger() *slog.Logger {
	return slog.New(handler{l, l.encoder(false), l.encoder(true)})
}

// SetOptions replaces the options for all later lines.
func (l *Lines) SetOptions(options Options) { l.options.Store(&options) }

// Dropped returns the number of lines that were dropped so far.
func (l *Lines) Dropped() int64 { return l.droppedTotal.Load() }

func (l *Lines) encoder(urgent bool) slog.Handler {
	return slog.NewJSONHandler(queueWriter{l, urgent}, &slog.HandlerOptions{Level: event.Routine})
}

// handler is a slog.Handler that encodes and queues the lines that are admitted and drops the others.
type handler struct {
	log             *Lines
	routine, urgent slog.Handler // Encode the lines of level event.Routine, and the others.
}

// Enabled reports whether the options allow lines of the level.
func (h handler) Enabled(_ context.Context, level slog.Level) bool {
	options := h.log.options.Load()
	return options.PerSecond > 0 && (level > event.Routine || options.Routine)
}

// Handle queues the line, or drops it and returns no error: to the logger a dropped line is no failure.
func (h handler) Handle(ctx context.Context, line slog.Record) error {
	now := time.Now()
	h.log.reportDropped(ctx, now)
	if !h.log.admit(now, line.Level, line.Message) {
		return nil
	}
	if line.Level > event.Routine {
		return h.urgent.Handle(ctx, line)
	}
	return h.routine.Handle(ctx, line)
}

// WithAttrs returns a handler that adds the fields to each of its lines.
func (h handler) WithAttrs(fields []slog.Attr) slog.Handler {
	return handler{h.log, h.routine.WithAttrs(fields), h.urgent.WithAttrs(fields)}
}

// WithGroup returns a handler that puts the fields of its lines into a group.
func (h handler) WithGroup(name string) slog.Handler {
	return handler{h.log, h.routine.WithGroup(name), h.urgent.WithGroup(name)}
}

// admit takes a place in the queue for a line and reports whether it did. If the rate or the queue is
// exhausted, it counts the line as dropped.
func (l *Lines) admit(now time.Time, level slog.Level, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSecond(now)
	rate, places := l.options.Load().PerSecond, queueCapacity
	if level <= event.Routine {
		rate, places = int(routineShare*float64(rate)), routineShare*queueCapacity
	}
	if l.closed || l.admitted >= rate || l.queued >= places {
		l.dropped[kind]++
		l.droppedTotal.Add(1)
		return false
	}
	l.admitted++
	l.queued++
	return true
}

// startSecond resets the count of admitted lines when a new second has begun. The caller holds the lock.
func (l *Lines) startSecond(now time.Time) {
	if now.Unix() != l.currentSecond {
		l.currentSecond, l.admitted = now.Unix(), 0
	}
}

// reportDropped writes one lines_dropped line for each kind of which lines were dropped. It does so at most once
// a second: when the first line of a later second is logged.
func (l *Lines) reportDropped(ctx context.Context, now time.Time) {
	l.mu.Lock()
	if len(l.dropped) == 0 || now.Unix() == l.currentSecond || l.closed {
		l.mu.Unlock()
		return
	}
	l.startSecond(now)
	var lines []slog.Record
	for _, kind := range slices.Sorted(maps.Keys(l.dropped)) {
		if l.queued == queueCapacity {
			break // The queue is full; the remaining kinds are reported later.
		}
		l.queued++
		line := slog.NewRecord(now, event.LinesDropped.Level, event.LinesDropped.Name, 0)
		line.AddAttrs(event.Text(event.Dropped, kind), event.Int(event.Lines, l.dropped[kind]))
		lines = append(lines, line)
		delete(l.dropped, kind)
	}
	l.mu.Unlock()
	for _, line := range lines {
		l.dropReports.Handle(ctx, line) // Can't block: the line holds a place in the queue.
	}
}

// queueWriter is the io.Writer through which encoded lines enter the queue. Each of them already holds a
// place there.
type queueWriter struct {
	log    *Lines
	urgent bool // Whether its lines are written without waiting for others.
}

// Write queues one line.
func (w queueWriter) Write(line []byte) (int, error) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	if !w.log.closed {
		w.log.queue <- slices.Clone(line) // Never blocks: a line is sent only after a place was reserved for it.
		if w.urgent {
			w.log.flushSoon()
		}
	}
	return len(line), nil
}

// flushSoon ends the wait for further lines. It does not block.
func (l *Lines) flushSoon() {
	select {
	case l.urgent <- struct{}{}:
	default: // An earlier signal is still pending.
	}
}

// writeQueued writes the lines in batches: a system call for each would cost more than the lines themselves.
func (l *Lines) writeQueued() {
	defer close(l.done)
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for line := range l.queue {
		timer.Reset(gatherTime)
		select {
		case <-l.urgent:
		case <-timer.C:
		}
		batch, lines := l.gather(line)
		l.target.Write(batch) // A failure can't be reported: this is the log.
		l.mu.Lock()
		l.queued -= lines
		l.mu.Unlock()
	}
}

// gather returns the line together with those that are queued, up to batchBytes, and their number.
func (l *Lines) gather(line []byte) (batch []byte, lines int) {
	batch, lines = line, 1
	for len(batch) < batchBytes {
		select {
		case next, open := <-l.queue:
			if !open {
				return batch, lines
			}
			batch = append(batch, next...)
			lines++
		default:
			return batch, lines
		}
	}
	l.flushSoon() // The rest need not wait.
	return batch, lines
}

// Close reports the lines that were dropped, then waits until the queue is written or the limit has passed.
// Later lines are dropped.
func (l *Lines) Close(limit time.Duration) {
	l.reportDropped(context.Background(), time.Now().Add(time.Second)) // One second ahead, so that drops of the current second are reported too.
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.queue)
	l.flushSoon()
	l.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}

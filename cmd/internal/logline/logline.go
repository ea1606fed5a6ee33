// Package logline writes log lines without ever making the process wait. A line that finds no room is
// dropped and counted by its kind; routine lines leave room for the others.
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
	room        = 4096 // Lines that may wait to be written.
	routinePart = 0.75 // Of the room and of the lines in one second that routine lines may take.
)

// Options bound what is written.
type Options struct {
	PerSecond int  // Lines that are taken in one second; 0 writes none.
	Routine   bool // Whether lines on requests that are served as usual are written.
}

// Lines is the queue of lines, written by one goroutine. Create one with New.
type Lines struct {
	options atomic.Pointer[Options]
	target  io.Writer
	queue   chan []byte
	done    chan struct{}
	tell    slog.Handler // Writes the lines that tell of dropped ones.
	total   atomic.Int64 // Lines dropped so far.

	mu      sync.Mutex
	closed  bool
	second  int64 // Unix time of the count.
	count   int   // Lines taken in that second.
	queued  int   // Lines that have a place in the queue.
	dropped map[string]int
}

// New returns the lines to target, with a goroutine that ends at Close.
func New(target io.Writer, options Options) *Lines {
	l := &Lines{
		target: target,
		queue:  make(chan []byte, room), done: make(chan struct{}), dropped: make(map[string]int),
	}
	l.options.Store(&options)
	l.tell = l.encoder()
	go l.run()
	return l
}

// Logger returns a logger that writes to the lines.
func (l *Lines) Logger() *slog.Logger { return slog.New(handler{l, l.encoder()}) }

// Bound changes what is written from now on.
func (l *Lines) Bound(options Options) { l.options.Store(&options) }

// Dropped returns how many lines were dropped so far.
func (l *Lines) Dropped() int64 { return l.total.Load() }

func (l *Lines) encoder() slog.Handler {
	return slog.NewJSONHandler(queueWriter{l}, &slog.HandlerOptions{Level: event.Routine})
}

// handler is a slog.Handler that encodes the lines which have a place.
type handler struct {
	lines *Lines
	next  slog.Handler
}

// Enabled reports whether lines of the level are written at all.
func (h handler) Enabled(_ context.Context, level slog.Level) bool {
	options := h.lines.options.Load()
	return options.PerSecond > 0 && (level > event.Routine || options.Routine)
}

// Handle queues the line, or drops it. It never fails, so that a logger goes on.
func (h handler) Handle(ctx context.Context, line slog.Record) error {
	now := time.Now()
	h.lines.tellDropped(ctx, now)
	if !h.lines.admit(now, line.Level, line.Message) {
		return nil
	}
	return h.next.Handle(ctx, line)
}

// WithAttrs returns a handler whose lines hold further fields.
func (h handler) WithAttrs(fields []slog.Attr) slog.Handler {
	return handler{h.lines, h.next.WithAttrs(fields)}
}

// WithGroup returns a handler whose fields stand in a group.
func (h handler) WithGroup(name string) slog.Handler { return handler{h.lines, h.next.WithGroup(name)} }

// admit takes a place for a line, or counts it as dropped.
func (l *Lines) admit(now time.Time, level slog.Level, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	rate, places := l.options.Load().PerSecond, room
	if level <= event.Routine {
		rate, places = int(routinePart*float64(rate)), routinePart*room
	}
	if l.closed || l.count >= rate || l.queued >= places {
		l.dropped[kind]++
		l.total.Add(1)
		return false
	}
	l.count++
	l.queued++
	return true
}

// roll begins the count of a new second. It is called under the lock.
func (l *Lines) roll(now time.Time) {
	if now.Unix() != l.second {
		l.second, l.count = now.Unix(), 0
	}
}

// tellDropped writes how many lines of each kind were dropped, at the first line of a later second.
func (l *Lines) tellDropped(ctx context.Context, now time.Time) {
	l.mu.Lock()
	if len(l.dropped) == 0 || now.Unix() == l.second || l.closed {
		l.mu.Unlock()
		return
	}
	l.roll(now)
	var lines []slog.Record
	for _, kind := range slices.Sorted(maps.Keys(l.dropped)) {
		if l.queued == room {
			break // The rest is told later.
		}
		l.queued++
		line := slog.NewRecord(now, event.LinesDropped.Level, event.LinesDropped.Name, 0)
		line.AddAttrs(event.Text(event.Dropped, kind), event.Count(event.Lines, l.dropped[kind]))
		lines = append(lines, line)
		delete(l.dropped, kind)
	}
	l.mu.Unlock()
	for _, line := range lines {
		l.tell.Handle(ctx, line) // Writes to the queue, which takes it.
	}
}

// queueWriter takes the encoded lines. Each has a place in the queue already.
type queueWriter struct{ lines *Lines }

// Write queues one line.
func (w queueWriter) Write(line []byte) (int, error) {
	w.lines.mu.Lock()
	defer w.lines.mu.Unlock()
	if !w.lines.closed {
		w.lines.queue <- slices.Clone(line) // Does not wait: each place is taken by one line.
	}
	return len(line), nil
}

func (l *Lines) run() {
	defer close(l.done)
	for line := range l.queue {
		l.target.Write(line) // There is nowhere to tell of a failure.
		l.mu.Lock()
		l.queued--
		l.mu.Unlock()
	}
}

// Close writes what is queued, for at most the given time. Later lines are dropped.
func (l *Lines) Close(limit time.Duration) {
	l.tellDropped(context.Background(), time.Now().Add(time.Second)) // Also of the running second.
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.queue)
	l.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}

// Package logline writes log lines without ever making the process wait: a line that finds no room is
// dropped and counted.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	room      = 4096 // Lines that may wait to be written.
	perSecond = 4000 // Lines that are taken in one second.
)

// Writer is an io.Writer that queues each Write as one line. Create one with New.
type Writer struct {
	target io.Writer
	lines  chan []byte
	done   chan struct{}

	mu      sync.Mutex
	closed  bool
	second  int64 // Unix time of the count.
	count   int   // Lines taken in that second.
	dropped int   // Since this was last told.
}

// New returns a writer to target, with a goroutine that ends at Close.
func New(target io.Writer) *Writer {
	w := &Writer{target: target, lines: make(chan []byte, room), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it. It never fails, so that a logger goes on.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Unix() != w.second {
		w.second, w.count = now.Unix(), 0
		w.tellDropped(now)
	}
	w.count++
	if w.closed || w.count > perSecond || !w.queue(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

func (w *Writer) queue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// tellDropped writes how many lines were dropped. It is called under the lock.
func (w *Writer) tellDropped(now time.Time) {
	if w.dropped == 0 || w.closed {
		return
	}
	line := fmt.Sprintf(`{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", now.Format(time.RFC3339Nano), w.dropped)
	if w.queue([]byte(line)) {
		w.dropped = 0
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		w.target.Write(line) // There is nowhere to tell of a failure.
	}
}

// Close writes what is queued, for at most the given time. Later lines are dropped.
func (w *Writer) Close(limit time.Duration) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.tellDropped(time.Now())
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

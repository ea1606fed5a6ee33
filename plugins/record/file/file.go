// Package file records the events and effects of the decision code's state machines as JSON lines,
// so that `redwingctl bench replay` can run the same code on the same events again.
package file

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"log/slog"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

const (
	defaultMaxMB  = 256
	megabyte      = 1 << 20
	queueCapacity = 4096 // Lines that may wait to be written; when the queue is full, Record blocks.
	flushInterval = time.Second
)

// Settings are the plug-in's settings.
type Settings struct {
	File  string `json:"file"`   // File to append to; "" disables recording.
	MaxMB int    `json:"max_mb"` // Size of the file, in MiB, at which recording ends.
}

// Check reports invalid settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.MaxMB > 0, "max_mb", "must be above 0")
}

// Recorder is the plug-in. Create it through the registry.
type Recorder struct {
	settings Settings
	log      *slog.Logger
	runID    string // Random id of this incarnation of the process.
	lines    chan []byte
	stopping chan struct{}
	writer   sync.WaitGroup
}

// Line is one recorded step as it is written to the file.
type Line struct {
	Run      string          `json:"run"`     // Random id of the process's incarnation.
	Machine  string          `json:"machine"` // Kind of the state machine.
	Key      string          `json:"key"`     // Which state machine of that kind.
	Sequence uint64          `json:"seq"`     // Number of the machine's step; 0 for its creation.
	At       time.Time       `json:"at"`
	Event    string          `json:"event"` // Name of the event's type.
	Body     json.RawMessage `json:"body"`
	Effects  json.RawMessage `json:"effects,omitempty"`
}

// Provision reads the settings and binds port.Recorder.
func (r *Recorder) Provision(c *plugin.Context) error {
	r.settings.MaxMB = defaultMaxMB
	if err := c.Settings(&r.settings); err != nil {
		return err
	}
	r.log = c.Log
	r.runID = rand.Text()
	r.lines = make(chan []byte, queueCapacity)
	r.stopping = make(chan struct{})
	plugin.Bind[port.Recorder](c, r)
	return nil
}

// Start opens the file and starts the goroutine that writes to it. It does nothing if no file is set.
func (r *Recorder) Start() error {
	if !r.Active() {
		return nil
	}
	file, err := os.OpenFile(r.settings.File, os.O_APPEND|os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	size, err := removeTornLine(file)
	if err != nil {
		return errors.Join(errors.Wrap(err, "record"), file.Close())
	}
	r.writer.Go(func() { r.write(file, size) })
	return nil
}

// Stop writes the queued lines and closes the file.
func (r *Recorder) Stop() error {
	close(r.stopping)
	r.writer.Wait()
	return nil
}

// Active reports whether the settings name a file.
func (r *Recorder) Active() bool { return r.settings.File != "" }

// Record encodes the step and queues it to be written. It blocks while the queue is full.
func (r *Recorder) Record(step port.RecordedStep) {
	line, err := r.encode(step)
	if err != nil {
		event.StepNotRecorded.Log(r.log, event.Err(errors.Wrapf(err, "%s %s", step.Machine, step.Key)))
		return
	}
	select {
	case r.lines <- line:
	case <-r.stopping:
	}
}

// encode returns the step as a line of JSON.
func (r *Recorder) encode(step port.RecordedStep) ([]byte, error) {
	line := Line{
		Run: r.runID, Machine: step.Machine, Key: step.Key, Sequence: step.Sequence, At: step.At,
		Event: reflect.TypeOf(step.Event).Name(),
	}
	var err error
	if line.Body, err = json.Marshal(step.Event); err != nil {
		return nil, err
	}
	if step.Effects != nil {
		if line.Effects, err = json.Marshal(step.Effects); err != nil {
			return nil, err
		}
	}
	raw, err := json.Marshal(line)
	return append(raw, '\n'), err
}

// write appends lines to the file, which has the given size, until the plug-in stops.
func (r *Recorder) write(file *os.File, size int64) {
	defer file.Close()
	s := &sink{out: bufio.NewWriter(file), log: r.log, name: r.settings.File, remaining: int64(r.settings.MaxMB)*megabyte - size}
	defer s.out.Flush()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-r.lines:
			s.append(line)
		case <-ticker.C:
			s.out.Flush() // An error is returned again by the next write.
		case <-r.stopping:
			r.writeRest(s)
			return
		}
	}
}

// writeRest appends the lines that are still queued.
func (r *Recorder) writeRest(s *sink) {
	for {
		select {
		case line := <-r.lines:
			s.append(line)
		default:
			return
		}
	}
}

// sink appends lines to the file until it has reached its largest size or a write fails. Later lines
// are dropped: the record serves diagnosis, and the process goes on without it.
type sink struct {
	out       *bufio.Writer
	log       *slog.Logger
	name      string
	remaining int64 // Bytes by which the file may still grow.
	closed    bool
}

func (s *sink) append(line []byte) {
	if s.closed {
		return
	}
	if s.remaining -= int64(len(line)); s.remaining < 0 {
		event.RecordingEnded.Log(s.log, event.Text(event.File, s.name), event.Text(event.Error, "the file is full"))
		s.closed = true
		return
	}
	if _, err := s.out.Write(line); err != nil {
		event.RecordingEnded.Log(s.log, event.Text(event.File, s.name), event.Err(err))
		s.closed = true
	}
}

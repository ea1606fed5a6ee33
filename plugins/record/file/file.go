// Package file records the events and effects of the decision machines as JSON lines, so that
// `redwingctl bench replay` can drive the same decision code again.
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
	queuedLines   = 4096 // Lines that wait for the disk; a full queue slows the steps down.
	flushInterval = time.Second
)

// Settings are the plug-in's own.
type Settings struct {
	File  string `json:"file"`   // Appended to; "" records nothing.
	MaxMB int    `json:"max_mb"` // Recording ends when the file has this size.
}

// Check tells the faults of the settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.MaxMB > 0, "max_mb", "must be above 0")
}

// Recorder is the plug-in. Create it through the registry.
type Recorder struct {
	settings Settings
	log      *slog.Logger
	run      string // Random for each run of the process.
	lines    chan []byte
	stopping chan struct{}
	written  sync.WaitGroup
}

// Line is one recorded step as it stands in the file.
type Line struct {
	Run      string          `json:"run"` // Of the process.
	Machine  string          `json:"machine"`
	Key      string          `json:"key"`
	Sequence uint64          `json:"seq"`
	At       time.Time       `json:"at"`
	Event    string          `json:"event"` // Name of the event's type.
	Body     json.RawMessage `json:"body"`
	Effects  json.RawMessage `json:"effects,omitempty"`
}

// Provision reads the settings and binds the port.
func (r *Recorder) Provision(c *plugin.Context) error {
	r.settings.MaxMB = defaultMaxMB
	if err := c.Settings(&r.settings); err != nil {
		return err
	}
	r.log = c.Log
	r.run = rand.Text()
	r.lines = make(chan []byte, queuedLines)
	r.stopping = make(chan struct{})
	plugin.Bind[port.Recorder](c, r)
	return nil
}

// Start opens the file.
func (r *Recorder) Start() error {
	if !r.Active() {
		return nil
	}
	file, err := os.OpenFile(r.settings.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	info, err := file.Stat()
	if err != nil {
		return errors.Join(errors.Wrap(err, "record"), file.Close())
	}
	r.written.Go(func() { r.write(file, info.Size()) })
	return nil
}

// Stop writes what waits and closes the file.
func (r *Recorder) Stop() error {
	close(r.stopping)
	r.written.Wait()
	return nil
}

// Active reports whether a file is named.
func (r *Recorder) Active() bool { return r.settings.File != "" }

// Record encodes the step and queues it for the file.
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

func (r *Recorder) encode(step port.RecordedStep) ([]byte, error) {
	line := Line{
		Run: r.run, Machine: step.Machine, Key: step.Key, Sequence: step.Sequence, At: step.At,
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

// write appends lines to the file until the plug-in stops.
func (r *Recorder) write(file *os.File, size int64) {
	defer file.Close()
	s := &sink{out: bufio.NewWriter(file), log: r.log, name: r.settings.File, left: int64(r.settings.MaxMB)*megabyte - size}
	defer s.out.Flush()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-r.lines:
			s.append(line)
		case <-ticker.C:
			s.out.Flush() // A failure shows at the next write.
		case <-r.stopping:
			r.writeRest(s)
			return
		}
	}
}

// writeRest appends the lines that are queued.
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

// sink appends lines to the file until it is full or the disk fails. What comes after is dropped:
// a record is for diagnosis, and work goes on without it.
type sink struct {
	out    *bufio.Writer
	log    *slog.Logger
	name   string
	left   int64 // Bytes that the file may still grow by.
	closed bool
}

func (s *sink) append(line []byte) {
	if s.closed {
		return
	}
	if s.left -= int64(len(line)); s.left < 0 {
		event.RecordingEnded.Log(s.log, event.Text(event.File, s.name), event.Text(event.Error, "the file is full"))
		s.closed = true
		return
	}
	if _, err := s.out.Write(line); err != nil {
		event.RecordingEnded.Log(s.log, event.Text(event.File, s.name), event.Err(err))
		s.closed = true
	}
}

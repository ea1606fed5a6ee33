package main

import (
	"context"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/cmd/internal/node"
	"redwingpulley/kernel/event"
	"redwingpulley/kernel/settings"
)

// loadSettings reads the settings and checks those of the kernel and of all plug-ins, without opening any file or
// listener that they name. Its error joins all faults.
func loadSettings(path string) (settings.Settings, error) {
	s, err := settings.Read(path)
	var unreadable *fs.PathError
	if errors.As(err, &unreadable) {
		return s, usageError{err}
	}
	_, faults := node.New(s, slog.New(slog.DiscardHandler))
	if err := errors.Join(err, faults); err != nil {
		return s, usageError{err}
	}
	return s, nil
}

// pollInterval is how often the settings file is checked for changes, which may come without a signal.
const pollInterval = 2 * time.Second

// fileState is what is compared to detect that a file has changed.
type fileState struct {
	size     int64
	modified time.Time
	file     os.FileInfo // Detects that another file was put in its place.
}

func readFileState(path string) (fileState, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}, err
	}
	return fileState{info.Size(), info.ModTime(), info}, nil
}

func (s fileState) equal(other fileState) bool {
	return s.size == other.size && s.modified.Equal(other.modified) && (s.file == nil || os.SameFile(s.file, other.file))
}

// watchFile sends to changed whenever the file has changed, until the context ends. It skips a check at which the
// file's state can't be read.
func watchFile(ctx context.Context, path string, last fileState, interval time.Duration, changed chan<- struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now, err := readFileState(path)
		if err != nil || now.equal(last) {
			continue
		}
		last = now
		select {
		case changed <- struct{}{}:
		default: // An earlier change is still waiting to be handled; that covers this one.
		}
	}
}

// reloadable are the settings that take effect while the process runs. The others take effect at its next start.
var reloadable = map[string]bool{"seeds": true, "log": true}

// reload applies the settings file as it is now, or refuses it as a whole and keeps the old settings.
func (p *process) reload() {
	next, err := loadSettings(p.path)
	if err != nil {
		event.SettingsRefused.Log(p.log, event.Err(err))
		return
	}
	var now, later []string
	for _, path := range p.inForce.Differences(next) {
		if reloadable[path] {
			now = append(now, path)
		} else {
			later = append(later, path)
		}
	}
	if len(now)+len(later) == 0 {
		return // The file's content means the same as before.
	}
	p.inForce = next
	p.lines.SetOptions(logOptions(next))
	p.host.Reload(next)
	event.SettingsReloaded.Log(p.log, event.List(event.Changed, now), event.List(event.Later, later), event.List(event.Seeds, next.Seeds))
}

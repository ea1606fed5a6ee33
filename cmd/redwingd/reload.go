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

// load reads the settings and checks those of the kernel and of all plug-ins, without opening anything.
// Its error joins all faults.
func load(path string) (settings.Settings, error) {
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

// lookInterval is how often the settings file is looked at: it may change without a signal.
const lookInterval = 2 * time.Second

// stamp tells one state of a file from the next.
type stamp struct {
	size     int64
	modified time.Time
	file     os.FileInfo // To tell a file that was put in place of another.
}

func stampOf(path string) (stamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}, err
	}
	return stamp{info.Size(), info.ModTime(), info}, nil
}

func (s stamp) same(other stamp) bool {
	return s.size == other.size && s.modified.Equal(other.modified) && (s.file == nil || os.SameFile(s.file, other.file))
}

// watchFile sends to changed when the file is another than before, until the context ends. While it
// cannot be read nothing has changed.
func watchFile(ctx context.Context, path string, last stamp, interval time.Duration, changed chan<- struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now, err := stampOf(path)
		if err != nil || now.same(last) {
			continue
		}
		last = now
		select {
		case changed <- struct{}{}:
		default: // An earlier one has yet to be taken up.
		}
	}
}

// immediate are the keys that take effect while the process runs; the others do at its next start.
var immediate = map[string]bool{"seeds": true, "log": true}

// reload takes the settings as they are now, or refuses them whole and keeps the old ones.
func (p *process) reload() {
	next, err := load(p.path)
	if err != nil {
		event.SettingsRefused.Log(p.log, event.Err(err))
		return
	}
	var now, later []string
	for _, path := range p.inForce.Differences(next) {
		if immediate[path] {
			now = append(now, path)
		} else {
			later = append(later, path)
		}
	}
	if len(now)+len(later) == 0 {
		return // The file was only touched.
	}
	p.inForce = next
	p.lines.SetOptions(bounds(next))
	p.host.Reload(next)
	event.SettingsReloaded.Log(p.log, event.List(event.Changed, now), event.List(event.Later, later), event.List(event.Seeds, next.Seeds))
}

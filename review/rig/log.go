// Command rig plays the cases of this review on loopback addresses and the real clock: it starts the project's own programs as
// processes, and stands in for the platform, the executors, the operator and the clients, by the users' pages.
package main

import (
	"fmt"
	"os"
	"regexp"
	"sync"
	"time"
)

// Record is what was sent, answered and run, one line an event.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// taskName matches a task's name, which stands with slashes in the record, so that it isn't taken for an address.
var taskName = regexp.MustCompile(`([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)`)

// Add writes a line with the seconds since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := taskName.ReplaceAllString(fmt.Sprintf(format, args...), "$1/$2/$3/$4")
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), text)
}

package main

import (
	"fmt"
	"io"
	"os"
	"time"
)

// Intervals between two updates of the progress.
const (
	terminalInterval = 200 * time.Millisecond
	fileInterval     = 2 * time.Second
)

// progress shows how many jobs of a run are answered. On a terminal it overwrites one line; elsewhere it prints a new
// line at intervals.
type progress struct {
	out      io.Writer
	terminal bool
	last     time.Time
}

func newProgress(out io.Writer) *progress {
	return &progress{out: out, terminal: isTerminal(out), last: time.Now()}
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (p *progress) show(done, all int) {
	interval, before, after := fileInterval, "", "\n"
	if p.terminal {
		interval, before, after = terminalInterval, "\r", ""
	}
	if done < all && time.Since(p.last) < interval {
		return
	}
	if done == all {
		after = "\n"
	}
	p.last = time.Now()
	fmt.Fprintf(p.out, "%s%d of %d jobs answered%s", before, done, all, after)
}

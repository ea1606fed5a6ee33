package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// cases maps the name of a case to its play, which reports whether the rule was broken. trouble is false for the play without
// the disruption.
var cases = map[string]func(c *cluster, w *world, trouble bool) (broken bool){
	"frozen-owner":   frozenOwner,
	"late-starts":    lateStarts,
	"reborn-starts":  rebornStarts,
	"cancel-running": cancelRunning,
	"first-start":    firstStart,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		cannot("%v", err)
	}
	if _, err := os.Stat(filepath.Join(root, "target", "redwingd")); err != nil {
		cannot("%v", err)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		cannot("%v", err)
	}
	rec := &record{file: file, start: time.Now()}
	play, known := cases[os.Args[1]]
	if !known {
		cannot("no such case")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with the disruption: %v", os.Args[1], trouble)
	c := newCluster(root, rec)
	current = c
	time.AfterFunc(115*time.Second, func() { cannot("not finished in time") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() { cannot("interrupted by signal %v", <-interrupted) }()
	w := &world{rec: rec}
	broken := play(c, w, trouble)
	c.stop()
	if w.inTrouble > 0 {
		rec.line("orders while some are left unanswered: %d; of these left unanswered and carried out late: %d (%.2f)", w.inTrouble, w.late, float64(w.late)/float64(w.inTrouble))
	}
	if broken {
		rec.line("the rule was broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	rec.line("the rule held")
	fmt.Println("held")
}

// installation starts a small installation of two zones: three core machines, ten entry machines, and executors.
func installation(c *cluster, w *world, executorsPerZone, cpu int) (entries []*machine, executors []*executor) {
	for _, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		c.add("core", zone)
	}
	for range 5 {
		c.add("frontend", "zone-a")
		c.add("frontend", "zone-b")
	}
	for _, m := range c.machines {
		m.start(true)
	}
	time.Sleep(500 * time.Millisecond)
	n := 0
	for _, zone := range []string{"zone-a", "zone-b"} {
		for range executorsPerZone {
			n++
			executors = append(executors, w.executor(c, n, zone, cpu, true))
		}
	}
	entries = c.class("frontend")
	if !c.declare(1, true, 20*time.Second) {
		cannot("the first desired state was not acknowledged")
	}
	if !c.awaitReady(entries, 20*time.Second) {
		cannot("the entry machines are not ready")
	}
	if !c.warmUp(entries) {
		cannot("no job was completed")
	}
	return entries, executors
}

// holderOf returns the entry machine that has logged most often that it took the lease on an executor of the zone. Jobs are sent
// to the zone until there is one.
func holderOf(entries []*machine, executors []*executor, zone string) *machine {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); {
		var holder *machine
		most := 0
		for _, m := range entries {
			count := 0
			for _, e := range executors {
				if e.zone == zone {
					count += m.logged("lease_taken", e.id)
				}
			}
			if count > most {
				holder, most = m, count
			}
		}
		if holder != nil {
			return holder
		}
		for _, m := range others(entries, zone, nil) {
			m.c.send(http.MethodPost, m, job{id: newID(), tasks: 6, ms: 100, cpu: 4000, deadline: 1500 * time.Millisecond})
		}
	}
	cannot("no entry machine holds an executor in %s", zone)
	return nil
}

// others returns the machines of the zone other than one.
func others(machines []*machine, zone string, not *machine) (rest []*machine) {
	for _, m := range machines {
		if m.zone == zone && m != not {
			rest = append(rest, m)
		}
	}
	return rest
}

// awaitRunning waits until so many tasks of the job run.
func (w *world) awaitRunning(id string, tasks int) bool {
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if len(w.runningAt(id)) >= tasks {
			return true
		}
	}
	return false
}

// freezeTime is how long an entry machine stands still: the time of node_freeze in the site file.
const freezeTime = 4 * time.Second

// frozenOwner freezes the entry machine that holds the executors of a zone while another one has jobs there.
func frozenOwner(c *cluster, w *world, trouble bool) bool {
	entries, executors := installation(c, w, 3, 16000)
	const rounds, jobs = 3, 8
	for round := range rounds {
		holder := holderOf(entries, executors, "zone-a")
		sender := others(entries, "zone-a", holder)[0]
		c.rec.line("round %d: %s holds the executors of zone-a; jobs are sent to %s", round+1, holder.name, sender.name)
		done := make(chan int, jobs)
		for range jobs {
			j := job{id: newID(), tasks: 3, ms: 2500, cpu: 1000, deadline: 8 * time.Second}
			go func() { done <- c.submit(j, sender, others(entries, "zone-b", nil)[0], sender, sender) }()
		}
		time.Sleep(400 * time.Millisecond)
		if trouble {
			holder.signal(syscall.SIGSTOP)
			time.Sleep(freezeTime)
			holder.signal(syscall.SIGCONT)
		}
		for range jobs {
			<-done
		}
		time.Sleep(3 * time.Second)
	}
	return w.reportTwice() > 0
}

// leaveOneStart has the first start of the next lateWindow left unanswered and carried out late, whichever executor gets it. It
// sends that executor to ordered.
func leaveOneStart(executors []*executor, grants bool) (ordered chan *executor) {
	ordered = make(chan *executor, 1)
	var taken atomic.Bool
	until := time.Now().Add(lateWindow)
	for _, e := range executors {
		e.mu.Lock()
		e.grants = grants
		e.unanswered = func(path string) (after time.Duration, late, during bool) {
			during = time.Now().Before(until)
			late = during && path == "/run-start" && taken.CompareAndSwap(false, true)
			if late {
				ordered <- e
			}
			return lateStartAfter, late, during
		}
		e.mu.Unlock()
	}
	return ordered
}

// lateStarts kills an entry machine right after it has ordered starts at executors that it holds, one of which is carried out late.
func lateStarts(c *cluster, w *world, trouble bool) bool {
	return lateStart(c, w, trouble, true, false)
}

// rebornStarts does the same; the executor crashes, starts again under its id, and then carries the start out late.
func rebornStarts(c *cluster, w *world, trouble bool) bool {
	return lateStart(c, w, trouble, false, true)
}

func lateStart(c *cluster, w *world, trouble, grants, reborn bool) bool {
	entries, executors := installation(c, w, 4, 16000)
	const rounds, jobs = 4, 2
	for round := range rounds {
		holder := holderOf(entries, executors, "zone-a")
		c.rec.line("round %d: %s holds the executors of zone-a", round+1, holder.name)
		var ordered chan *executor
		if trouble {
			ordered = leaveOneStart(executors, grants)
		}
		done := make(chan int, jobs)
		for range jobs {
			j := job{id: newID(), tasks: 3, ms: 2000, cpu: 1000, deadline: 8 * time.Second}
			go func() {
				done <- c.submit(j, holder, others(entries, "zone-b", nil)[0], others(entries, "zone-b", nil)[1])
			}()
		}
		if trouble {
			e := <-ordered
			time.Sleep(50 * time.Millisecond)
			holder.signal(syscall.SIGKILL)
			if reborn {
				e.crash()
				time.Sleep(1200 * time.Millisecond)
				e.restart()
			}
		}
		for range jobs {
			<-done
		}
		if trouble {
			holder.start(false)
			c.awaitReady([]*machine{holder}, 10*time.Second)
		}
		time.Sleep(2 * time.Second)
	}
	return w.reportTwice() > 0
}

// lateWindow is how long a start may be chosen to be left unanswered.
const lateWindow = time.Second

// lateStartAfter is after how long an unanswered start is carried out; applied_late names 2 to 12 s.
const lateStartAfter = 2200 * time.Millisecond

const (
	cancelTime  = 3 * time.Second // cancel_ms
	ackTimeout  = 4 * time.Second // ack_timeout_ms
	contactTime = 3 * time.Second // contact_ms
)

// cancelRunning cancels a job while its tasks run, at the entry machine that has it.
func cancelRunning(c *cluster, w *world, trouble bool) bool {
	entries, _ := installation(c, w, 1, 16000)
	j := job{id: newID(), tasks: 2, ms: 6000, cpu: 2000, deadline: 12 * time.Second}
	done := make(chan int, 1)
	go func() { done <- c.submit(j, entries[0]) }()
	if !w.awaitRunning(j.id, j.tasks) {
		cannot("the job has not begun")
	}
	time.Sleep(300 * time.Millisecond)
	acked := time.Time{}
	if trouble {
		if status, _ := c.send(http.MethodDelete, entries[0], j); status/100 == 2 || status == http.StatusGone {
			acked = time.Now()
		}
	}
	if status := <-done; !trouble && status != http.StatusOK {
		cannot("the job was not completed")
	}
	time.Sleep(time.Second)
	return !acked.IsZero() && w.cancelBroken(j.id, acked)
}

// cancelBroken reports whether a task of the job was started, or was at work, later than the rule allows after the job's
// cancelling was acknowledged.
func (w *world) cancelBroken(id string, acked time.Time) (broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.intervals {
		if len(i.task) < len(id) || i.task[:len(id)] != id {
			continue
		}
		if late := i.from.Sub(acked); late > cancelTime {
			w.rec.line("UNASKED: %s starts %v after the cancelling was acknowledged", shown(i.task), late)
			broken = true
		}
		if late := i.to.Sub(acked); i.to.IsZero() || late > cancelTime+stopTimeout {
			w.rec.line("UNASKED: %s is at work until %v after the cancelling was acknowledged", shown(i.task), late)
			broken = true
		}
	}
	return broken
}

// firstStart kills the process on the lowest seed just after the first start of the whole system; the platform starts it again.
func firstStart(c *cluster, w *world, trouble bool) bool {
	for _, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		c.add("core", zone)
	}
	for _, zone := range []string{"zone-a", "zone-b"} {
		c.add("frontend", zone)
	}
	for _, m := range c.machines {
		m.start(true)
	}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		c.machines[0].signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		c.machines[0].start(false)
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		w.executor(c, i+1, zone, 16000, true)
	}
	time.Sleep(contactTime) // The core is stable from now on.
	const patience = 60 * time.Second
	if c.declare(1, true, patience) {
		return c.awaitReady(c.class("frontend"), 10*time.Second) != true
	}
	c.rec.line("Acks: the operator's order has no ack after %v in which the core was stable; ack_timeout_ms is %v", patience, ackTimeout)
	for _, m := range c.machines {
		c.rec.line("%s: running %v", m.name, m.alive())
	}
	for _, m := range c.class("frontend") {
		c.send(http.MethodPost, m, job{id: newID(), tasks: 1, ms: 20, cpu: 500, deadline: 1500 * time.Millisecond})
	}
	return true
}

// alive reports whether the machine's process runs.
func (m *machine) alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

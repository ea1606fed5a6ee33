package process

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/load"
	"redwingpulley/bench/trace"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/wait"
)

const (
	clockTick  = 10 * time.Millisecond // Unit of processor time in /proc.
	idleWindow = 10 * time.Second      // Time over which idle costs are measured.
	settleTime = 3 * time.Second       // Time before the measurement, for the cluster to become idle.
	kilobyte   = 1024
)

// usage is the resources that a process has used.
type usage struct {
	processor time.Duration
	resident  int64 // Bytes.
}

// readUsage reads a process's usage from /proc.
func (c *cluster) readUsage(v *vm) usage {
	c.t.Helper()
	pid := strconv.Itoa(v.command.Process.Pid)
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	c.must(err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21 // Indices of the fields after the process's name, from 0.
	number := func(i int) int64 {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		c.must(err)
		return n
	}
	return usage{
		processor: time.Duration(number(userTime)+number(systemTime)) * clockTick,
		resident:  number(residentPages) * int64(os.Getpagesize()),
	}
}

func (c *cluster) totalUsage() (sum usage) {
	for _, v := range c.vms {
		u := c.readUsage(v)
		sum.processor += u.processor
		sum.resident += u.resident
	}
	return sum
}

// peerBytes returns the number of bytes exchanged between members of different data centres so far.
func (c *cluster) peerBytes() (sum int64) {
	for _, r := range c.peerRelays {
		sum += r.Bytes()
	}
	return sum
}

// reportIdle measures the processor time, memory and peer traffic of an idle member.
func (c *cluster) reportIdle(b *testing.B) {
	wait.For(c.ctx, settleTime)
	before, bytes := c.totalUsage(), c.peerBytes()
	wait.For(c.ctx, idleWindow)
	after, moreBytes := c.totalUsage(), c.peerBytes()
	members := float64(len(c.vms))
	b.ReportMetric(100*float64(after.processor-before.processor)/float64(idleWindow)/members, "%core/member")
	b.ReportMetric(float64(after.resident)/members/(kilobyte*kilobyte), "MB/member")
	// Each byte is sent by one member and received by another.
	b.ReportMetric(2*float64(moreBytes-bytes)/idleWindow.Seconds()/members/kilobyte, "KB/s/member")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleMembers measures what membership costs each member, for several numbers of members. Each member has a
// data centre of its own, because only bytes between data centres are counted.
func BenchmarkIdleMembers(b *testing.B) {
	for _, members := range []int{3, 9, 18} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			start(b, clusterConfig{dataCentres: members, vms: 1, endpoints: 1, slots: 1}).reportIdle(b)
		})
	}
}

// BenchmarkIdleEndpoints measures what idle endpoints cost the owner of their pool.
func BenchmarkIdleEndpoints(b *testing.B) {
	for _, endpoints := range []int{2, 100, 400} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			start(b, clusterConfig{dataCentres: 2, vms: 1, endpoints: endpoints / 2, slots: 8}).reportIdle(b)
		})
	}
}

// BenchmarkTaskStart measures the entry VMs' processor time and peer bytes for each task, from the
// caller's request to its answer, for several sizes of the largest jobs.
func BenchmarkTaskStart(b *testing.B) {
	for _, largest := range []int{1, 16, 160} {
		b.Run(fmt.Sprintf("largest=%d", largest), func(b *testing.B) { benchmarkTaskStart(b, largest) })
	}
}

func benchmarkTaskStart(b *testing.B, largest int) {
	const endpoints, slotsPerEndpoint, length = 20, 8, 8 * time.Second
	c := start(b, clusterConfig{dataCentres: 2, vms: 1, endpoints: endpoints / 2, slots: slotsPerEndpoint})
	jobs := trace.Generate(trace.Workload{
		Service: "finder", Seed: 1, Length: length, Slots: endpoints * slotsPerEndpoint, Load: 0.6, Teams: 4,
		Deadline: 10 * time.Second, Largest: largest,
	})
	client := caller.New(c.entries(), 0, 0)
	defer client.Close()
	before, bytes := c.totalUsage(), c.peerBytes()
	results, err := load.Runner{Client: client, Tickets: true}.Run(c.ctx, jobs)
	c.must(err)
	after, moreBytes := c.totalUsage(), c.peerBytes()
	tasks := 0
	for i, r := range results {
		if r.Outcome == caller.Complete {
			tasks += len(jobs[i].RunMS)
		}
	}
	b.ReportMetric(float64((after.processor-before.processor).Microseconds())/float64(tasks), "µs/task")
	b.ReportMetric(float64(moreBytes-bytes)/float64(tasks), "B/task")
	b.ReportMetric(float64(after.resident)/float64(len(c.vms))/(kilobyte*kilobyte), "MB/member")
	b.ReportMetric(float64(tasks)/length.Seconds(), "tasks/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLog measures what the log costs at loads of few and of many jobs of two tasks.
func BenchmarkLog(b *testing.B) {
	const perSecond = 4000
	for _, rate := range []int{10, 500} {
		for name, log := range map[string]settings.Log{
			"on":              {LinesPerSecond: perSecond, Routine: true},
			"without-routine": {LinesPerSecond: perSecond},
		} {
			b.Run(fmt.Sprintf("jobs=%d/%s", rate, name), func(b *testing.B) { benchmarkLog(b, rate, log) })
		}
	}
}

func benchmarkLog(b *testing.B, rate int, log settings.Log) {
	const length, runMS, tasks = 8 * time.Second, 20, 2 // runMS is the run time of each task; tasks is the number of tasks of each job.
	c := start(b, clusterConfig{dataCentres: 1, vms: 2, endpoints: 10, slots: 8, log: log})
	jobs := make([]trace.Job, 0, rate*int(length.Seconds()))
	for i := range cap(jobs) {
		jobs = append(jobs, trace.Job{
			AtMS: int64(i) * 1000 / int64(rate), Service: "finder", Team: "team-1", DeadlineMS: 10_000,
			RunMS: slices.Repeat([]int64{runMS}, tasks),
		})
	}
	client := caller.New(c.entries(), 0, 0)
	defer client.Close()
	before, bytes := c.totalUsage(), c.logBytes()
	results, err := load.Runner{Client: client, Tickets: true}.Run(c.ctx, jobs)
	c.must(err)
	after, moreBytes := c.totalUsage(), c.logBytes()
	complete := 0
	for _, r := range results {
		if r.Outcome == caller.Complete {
			complete++
		}
	}
	b.ReportMetric(float64((after.processor-before.processor).Microseconds())/float64(complete), "µs/job")
	b.ReportMetric(float64(moreBytes-bytes)/float64(complete), "B/job")
	b.ReportMetric(float64(complete)/float64(len(jobs)), "complete")
	b.ReportMetric(0, "ns/op")
}

// logBytes returns the number of bytes that the processes have logged so far.
func (c *cluster) logBytes() (sum int64) {
	for _, v := range c.vms {
		info, err := os.Stat(v.log)
		c.must(err)
		sum += info.Size()
	}
	return sum
}

package swim

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the random tests unless -rapid.seed names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("20260101")
	}
	os.Exit(m.Run())
}

const (
	removedWithin = 30 // Periods after which a crashed member must be in no view.
	recoverWithin = 60 // Periods for which a live, connected member may be missing from a view.
)

// injectFault applies one fault, or the recovery from one, to a member or to the network.
func (c *cluster) injectFault(kind, pick int) {
	n := c.nodes[pick%len(c.nodes)]
	switch kind {
	case 0:
		c.crash(n)
	case 1:
		if n.machine == nil {
			c.start(n)
		}
	case 2:
		c.start(n) // Restarts at once, so that the others may not notice that the process was down.
	case 3:
		c.pause(n)
	case 4:
		c.resume(n)
	case 5:
		c.blocked = func(from, to *node) bool { return from == n && to != n } // One-way partition: n only receives.
	case 6:
		c.blocked = func(from, to *node) bool {
			return from.DataCentre != to.DataCentre && (from.DataCentre == n.DataCentre || to.DataCentre == n.DataCentre)
		}
	case 7:
		c.loss, c.duplicate = float64(pick%5)/10, 0.1
	case 8:
		n.clockOffset -= time.Hour
		c.start(n)
	case 9:
		if n.machine != nil {
			c.step(n, Stopping{})
			c.crash(n)
		}
	case 10:
		c.loss, c.blocked = 0, func(_, _ *node) bool { return false }
	}
}

// TestViewsConvergeAfterRandomFailures checks that all views agree again after random crashes,
// pauses, restarts, message loss and partitions. For a long run use -rapid.checks=100000.
func TestViewsConvergeAfterRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "members"))
		c.startAll()
		for range rapid.IntRange(3, 25).Draw(t, "steps") {
			c.injectFault(rapid.IntRange(0, 10).Draw(t, "kind"), rapid.IntRange(0, 11).Draw(t, "member"))
			c.run(time.Duration(rapid.IntRange(50, 20_000).Draw(t, "pause")) * time.Millisecond)
		}
		c.injectFault(10, 0)
		for _, n := range c.nodes {
			c.resume(n)
		}
		if len(c.running()) == 0 {
			return
		}
		if periods, ok := c.runUntil(recoverWithin, func() bool { return agreed(c.running()) }); !ok {
			t.Fatalf("views still differ %d periods after the last fault was removed", periods)
		}
		if crashed := c.nodes[0]; crashed.machine != nil && len(c.running()) > 1 {
			c.crash(crashed)
			if _, ok := c.runUntil(removedWithin, func() bool { return agreed(c.running()) }); !ok {
				t.Fatalf("a crashed member is still in a view after %d periods", removedWithin)
			}
		}
	})
}

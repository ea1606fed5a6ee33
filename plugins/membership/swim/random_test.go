package swim

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of random runs that name none.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("20260101")
	}
	os.Exit(m.Run())
}

const (
	goneWithin  = 30 // Periods after which a crashed member is in no view.
	wrongWithin = 60 // Periods for which a live, connected member may be missing from a view.
)

// disturb does one thing that happens to members or to the network.
func (c *cluster) disturb(kind, pick int) {
	n := c.nodes[pick%len(c.nodes)]
	switch kind {
	case 0:
		c.crash(n)
	case 1:
		if n.machine == nil {
			c.start(n)
		}
	case 2:
		c.start(n) // A restart that nobody noticed.
	case 3:
		c.freeze(n)
	case 4:
		c.thaw(n)
	case 5:
		c.cut = func(from, to *node) bool { return from == n && to != n } // One way.
	case 6:
		c.cut = func(from, to *node) bool {
			return from.DataCentre != to.DataCentre && (from.DataCentre == n.DataCentre || to.DataCentre == n.DataCentre)
		}
	case 7:
		c.loss, c.double = float64(pick%5)/10, 0.1
	case 8:
		n.clock -= time.Hour
		c.start(n)
	case 9:
		if n.machine != nil {
			c.step(n, Stopping{})
			c.crash(n)
		}
	case 10:
		c.loss, c.cut = 0, func(_, _ *node) bool { return false }
	}
}

// TestViewsAgreeAfterAnyFailures runs members through crashes, freezes, restarts, loss and cuts. A
// long run: -rapid.checks=100000.
func TestViewsAgreeAfterAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "members"))
		c.startAll()
		for range rapid.IntRange(3, 25).Draw(t, "steps") {
			c.disturb(rapid.IntRange(0, 10).Draw(t, "kind"), rapid.IntRange(0, 11).Draw(t, "member"))
			c.run(time.Duration(rapid.IntRange(50, 20_000).Draw(t, "pause")) * time.Millisecond)
		}
		c.disturb(10, 0)
		for _, n := range c.nodes {
			c.thaw(n)
		}
		if len(c.running()) == 0 {
			return
		}
		if periods, ok := c.runUntil(wrongWithin, func() bool { return agreed(c.running()) }); !ok {
			t.Fatalf("views still differ %d periods after the last failure", periods)
		}
		if victim := c.nodes[0]; victim.machine != nil && len(c.running()) > 1 {
			c.crash(victim)
			if _, ok := c.runUntil(goneWithin, func() bool { return agreed(c.running()) }); !ok {
				t.Fatalf("a dead member is still in a view after %d periods", goneWithin)
			}
		}
	})
}

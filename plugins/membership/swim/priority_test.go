package swim

import (
	"testing"

	"github.com/matryer/is"
)

// Pattern: a large group in which many members publish a new value each second, and a rack is lost. Guards against views
// that differ for long after it, since the values take the place of the records in the messages.
func TestChangingValuesDoNotDelayRecords(t *testing.T) {
	is := is.New(t)
	const members, lost, limit = 100, 20, 60
	periodsToAgree := func(values bool) int {
		c := startedCluster(is, 3, members)
		publish := func() {
			for i, n := range c.nodes {
				if values && n.machine != nil && i%2 == 0 {
					c.step(n, Published{Topic: "loads", Data: make([]byte, 300)})
				}
			}
		}
		for range 20 {
			publish()
			c.run(2 * period)
		}
		for _, n := range c.nodes[:lost] {
			c.crash(n)
		}
		periods, ok := c.runUntil(limit, func() bool {
			publish()
			return agreed(c.running())
		})
		is.True(ok)
		return periods
	}
	without, with := periodsToAgree(false), periodsToAgree(true)
	if with > without+2 {
		t.Errorf("all members agreed after %d periods, and after %d without values", with, without)
	}
}

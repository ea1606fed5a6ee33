package profiles

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
)

// order gives an order about sj1 to a member and returns its status.
func (c *cluster) order(id model.NodeID, evacuate bool) model.EditStatus {
	evacuations, err := plugin.Lookup[port.Evacuations](c.hosts[id])
	if err != nil {
		c.t.Fatal(err)
	}
	return evacuations.Order(c.t.Context(), "sj1", evacuate)
}

// Guards against an order that is forgotten when all members restart or a replica loses its disk, one that a member without a majority
// answers as done, and one that is refused because it is sent twice or to two members.
func TestOrder_SurvivesRestartsAndNeedsAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, 3, 1)
		defer c.stopAll()
		is.Equal(c.order("n3", true), model.EditDone)
		is.Equal(c.order("n0", true), model.EditDone)
		c.stopAll()
		is.NoErr(os.RemoveAll(filepath.Join(c.dir, "n0")))
		for i := range 4 {
			c.start(node(i))
		}
		for i := range 4 {
			c.awaitRevision(node(i), 1)
			set, _ := c.current(node(i))
			is.True(set.Evacuated("sj1"))
		}
		c.awaitVoter("n0")
		c.net.partition("n0")
		is.Equal(c.order("n1", false), model.EditDone)
		is.Equal(c.order("n0", true), model.EditNoMajority) // In force here, but withdrawn by the others.
		c.net.partition()
		c.awaitRevision("n0", 2)
		is.Equal(c.order("n0", true), model.EditDone)
	})
}

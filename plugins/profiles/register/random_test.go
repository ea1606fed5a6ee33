package register

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
)

func TestRandomisedRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(t, "replicas")
		w := newWorld(t, replicas, rapid.IntRange(0, 3).Draw(t, "plain"), rapid.Uint64().Draw(t, "seed"))
		w.run(3 * time.Second)
		s := &script{world: w, t: t}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			s.act()
		}
		w.settle()
	})
}

// script draws faults. The faults that the register must bear are bounded: at one time at most a
// minority of the disks is lost or set back, until all replicas vote again.
type script struct {
	*world
	t       *rapid.T
	changes []model.ProfileEdit
	hurt    []model.NodeID // Replicas whose disks were lost or set back and that do not vote yet.
}

func (s *script) act() {
	w := s.world
	id := rapid.SampledFrom(w.order).Draw(s.t, "node")
	s.hurt = slices.DeleteFunc(s.hurt, func(h model.NodeID) bool {
		n := w.nodes[h]
		return !n.down && n.machine.Votes() && n.disk != nil && n.disk.Voting && n.disk.Store == n.machine.durable.Store
	})
	switch rapid.IntRange(0, 13).Draw(s.t, "action") {
	case 0, 1, 2, 3:
		s.change(id)
	case 4:
		s.race()
	case 5:
		s.resend(id)
	case 6:
		w.cut = map[model.NodeID]int{id: 1, rapid.SampledFrom(w.order).Draw(s.t, "other"): 1}
	case 7:
		w.cut = map[model.NodeID]int{}
	case 8:
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(s.t, "loss")
		w.double = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(s.t, "double")
	case 9:
		w.crash(id)
		w.forget(id)
		w.nodes[id].full = false
		w.start(id)
	case 10:
		w.crash(id)
		w.forget(id)
	case 11:
		s.loseDisk(id)
	case 12:
		s.restoreOld(id)
	case 13:
		w.nodes[id].full = !w.nodes[id].full
	}
	w.run(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 100, 1000, 3000}).Draw(s.t, "ms")) * time.Millisecond)
}

func (s *script) newChange() model.ProfileEdit {
	expect := s.world.newest().Revision()
	c := model.ProfileEdit{
		ID: fmt.Sprintf("c%d", len(s.changes)), Digest: uint64(len(s.changes)), Expect: expect, Kind: model.PutProfile,
		Name: model.ProfileName(fmt.Sprintf("p%d", len(s.changes)%5)),
	}
	s.changes = append(s.changes, c)
	return c
}

func (s *script) change(id model.NodeID) { s.world.submit(id, s.newChange()) }

func (s *script) race() {
	for _, id := range s.world.order {
		s.change(id)
	}
}

func (s *script) resend(id model.NodeID) {
	if len(s.changes) > 0 {
		s.world.submit(id, rapid.SampledFrom(s.changes).Draw(s.t, "resent"))
	}
}

// bearable reports whether one more disk may be lost.
func (s *script) bearable(id model.NodeID) bool {
	return slices.Contains(s.world.replica, id) && !slices.Contains(s.hurt, id) &&
		len(s.hurt) < (len(s.world.replica)-1)/2
}

func (s *script) loseDisk(id model.NodeID) {
	if !s.bearable(id) {
		return
	}
	s.hurt = append(s.hurt, id)
	n := s.world.nodes[id]
	s.world.forget(id)
	n.disk, n.old, n.copied = nil, nil, false
	s.world.start(id)
}

func (s *script) restoreOld(id model.NodeID) {
	n := s.world.nodes[id]
	if !s.bearable(id) || len(n.old) == 0 {
		return
	}
	s.hurt = append(s.hurt, id)
	s.world.forget(id)
	n.disk = rapid.SampledFrom(n.old).Draw(s.t, "copy")
	n.copied = true
	s.world.start(id)
}

// TestMain fixes the seed of random runs that name none, so that CI runs the same ones. A long run:
// go test ./plugins/profiles/register -run TestRandomisedRuns -rapid.checks=1000000 -rapid.seed=N -timeout=0
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

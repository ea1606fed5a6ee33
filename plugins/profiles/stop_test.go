package profiles

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/disk"
	"redwingpulley/plugins/profiles/register"
)

// Guards against a message that arrives while the plug-in stops: it started a goroutine in the group that
// Stop was waiting for, which is a data race.
func TestGoroutines_NoneStartsAfterStop(t *testing.T) {
	is := is.New(t)
	var g goroutines
	started := false
	g.Go(func() { started = true })
	g.Stop()
	is.True(started)
	g.Go(func() { t.Error("a goroutine was started after Stop") })
	g.running.Wait()
}

// Guards against a message of a replaced member that arrives when the replicas are known and this member's
// machine is not installed yet.
func TestSendStores_WithoutMachine(t *testing.T) {
	p := &Profiles{}
	p.group.Store(newGroup([]model.NodeID{"n0", "n1", "n2"}))
	p.sendStores("n1")
}

// Guards against an edit that waits at a member whose machine is replaced: it got no result before its
// caller gave up.
func TestEdit_AnsweredWhenMachineIsReplaced(t *testing.T) {
	withBootstrapped(t, func(t *testing.T, is *is.I, c *cluster) {
		c.net.partition("n0")
		p := c.register("n0").(*Profiles)
		result := make(chan model.EditResult, 1)
		submittedAt := time.Now()
		go func() {
			result <- p.submitLocally(t.Context(), model.ProfileEdit{Kind: model.ConfirmRevision}, replicaTimeout)
		}()
		synctest.Wait()
		p.installMachine("n0"+placelessSuffix, disk.Loaded{}, register.Store{})
		is.Equal(<-result, model.EditResult{Status: model.EditNoMajority, Run: model.MayHaveRun})
		is.True(time.Since(submittedAt) < replicaTimeout)
	})
}

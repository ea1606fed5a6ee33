package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/cmd/internal/operatorclient"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/wait"
)

// operatorAddress returns the address of an entry VM's listener for operators.
func (c *cluster) operatorAddress(index int) string { return c.members[index].Listen.Operators }

// publish puts a profile through one entry VM and returns the answer's status.
func (c *cluster) publish(index int, key string, expect model.Revision) int {
	c.t.Helper()
	client := operatorclient.New([]string{c.operatorAddress(index)}, "ana")
	reply, err := client.Edit(c.ctx, operatorclient.Edit{
		Method: http.MethodPut, Path: "/v1/profiles/finder", Body: []byte(`{}`), Expect: expect, Key: key,
	})
	c.must(err)
	return reply.Status
}

// poll requests path from an entry VM until done accepts the body. It waits between the requests, as they go over the
// network.
func (c *cluster) poll(index int, path string, done func(body []byte) bool) {
	c.t.Helper()
	client := operatorclient.New([]string{c.operatorAddress(index)}, "")
	for {
		reply, err := client.Get(c.ctx, path)
		if err == nil && done(reply.Body) {
			return
		}
		if c.ctx.Err() != nil {
			c.t.Fatalf("%s did not reach the expected state: %s %v", c.members[index].Node, reply.Body, err)
		}
		wait.For(c.ctx, pollInterval)
	}
}

const pollInterval = 20 * time.Millisecond

// awaitRevision waits until a revision is in force at an entry VM.
func (c *cluster) awaitRevision(index int, revision model.Revision) {
	c.t.Helper()
	path := fmt.Sprintf("/v1/profiles?after=%d&wait_ms=1000", revision-1)
	c.poll(index, path, func(body []byte) bool {
		var got struct {
			Revision model.Revision `json:"revision"`
		}
		return json.Unmarshal(body, &got) == nil && got.Revision >= revision
	})
}

func (c *cluster) awaitVoter(index int) {
	c.t.Helper()
	c.poll(index, "/v1/status", func(body []byte) bool {
		var got struct {
			Replica string `json:"replica"`
		}
		return json.Unmarshal(body, &got) == nil && got.Replica == "voter"
	})
}

// startReplicas starts three entry VMs with disks and no endpoints, and waits until all of them vote.
func startReplicas(t *testing.T) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx}
	t.TempDir() // Clean-ups run in reverse order: this registers the removal of temporary folders to run after killAll.
	t.Cleanup(c.killAll)
	c.startMembers(clusterConfig{dataCentres: 3, vms: 1})
	for i := range c.vms {
		c.awaitVoter(i)
	}
	return c
}

// TestReplicasReplacedOneAfterTheOther kills each replica in turn, deletes its disk's contents and starts it again.
// Edits continue meanwhile, and no accepted edit is lost.
func TestReplicasReplacedOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	c := startReplicas(t)
	revision := model.Revision(0)
	change := func(index int) {
		t.Helper()
		is.Equal(c.publish(index, fmt.Sprint("key", revision), revision), http.StatusOK)
		revision++
	}
	change(0)
	for lost := range c.vms {
		c.kill(lost)
		change((lost + 1) % 3)
		is.NoErr(os.RemoveAll(filepath.Join(c.dir, string(c.members[lost].Node))))
		c.vms[lost] = c.launch(lost)
		c.awaitVoter(lost)
	}
	is.Equal(c.publish(2, "key0", 0), http.StatusOK) // A repeated edit gets the answer that the first one got.
	change(0)
	for i := range c.vms {
		c.awaitRevision(i, revision)
	}
}

// TestPausedReplicaCatchesUp pauses a replica's process, publishes edits through the others, and resumes it.
func TestPausedReplicaCatchesUp(t *testing.T) {
	is := is.New(t)
	c := startReplicas(t)
	c.signal(2, syscall.SIGSTOP)
	is.Equal(c.publish(0, "a", 0), http.StatusOK)
	is.Equal(c.publish(1, "b", 1), http.StatusOK)
	c.signal(2, syscall.SIGCONT)
	c.awaitRevision(2, 2)
	is.Equal(c.publish(2, "late", 1), http.StatusPreconditionFailed)
}

// TestRegisterSurvivesKillOfAllReplicas kills all processes and starts two of them again, which are a majority.
func TestRegisterSurvivesKillOfAllReplicas(t *testing.T) {
	is := is.New(t)
	c := startReplicas(t)
	is.Equal(c.publish(0, "a", 0), http.StatusOK)
	for i := range c.vms {
		c.kill(i)
	}
	for i := range 2 {
		c.vms[i] = c.launch(i)
	}
	for i := range 2 {
		c.awaitRevision(i, 1)
		c.awaitVoter(i)
	}
	is.Equal(c.publish(1, "b", 1), http.StatusOK)
	is.Equal(c.publish(0, "a", 0), http.StatusOK)
}

// TestEditIsRefusedWithoutAMajority kills two of three replicas. The third refuses an edit, because no majority can
// accept it.
func TestEditIsRefusedWithoutAMajority(t *testing.T) {
	is := is.New(t)
	c := startReplicas(t)
	c.kill(0)
	c.kill(1)
	is.Equal(c.publish(2, "a", 0), http.StatusServiceUnavailable)
	c.vms[0] = c.launch(0)
	c.awaitVoter(0)
	is.Equal(c.publish(0, "b", 0), http.StatusOK) // The refused edit did not take effect: revision 0 is still the current one.
	c.awaitRevision(2, 1)
}

package node

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/leased"
	"redwingpulley/kernel/wait"
)

const backAfter = time.Second // Time from the crash of an endpoint until its next incarnation listens at its address.

// crashingEndpoints are endpoints that start again after a crash.
type crashingEndpoints struct {
	cluster *platformCluster
	crashes atomic.Int32
	restart sync.WaitGroup
}

func (c *crashingEndpoints) start(number int, address string) {
	var e *leased.Endpoint
	config := leased.Config{
		ID: "i-" + strconv.Itoa(number), Service: "finder", Zone: c.cluster.dataCentre(number), Control: c.cluster.control,
		CPU: 16000, Slots: 8, HeartbeatInterval: 100 * time.Millisecond, MaxHold: time.Second, Address: address,
	}
	config.Crashed = func() {
		c.crashes.Add(1)
		c.restart.Go(func() {
			if wait.For(c.cluster.t.Context(), backAfter) {
				c.start(number, e.Address())
			}
		})
	}
	var err error
	if e, err = leased.Start(config); err != nil {
		c.cluster.t.Error(err)
		return
	}
	c.cluster.t.Cleanup(e.Stop)
}

// Guards against issue 28, BUDGET: a task crashed one endpoint after another until its deadline, with the work of others there.
func TestPlatformTaskThatCrashesItsEndpointsIsGivenUp(t *testing.T) {
	is := is.New(t)
	s := startPlatformCluster(t, 1, 2)
	endpoints := &crashingEndpoints{cluster: s}
	for number := range 6 {
		endpoints.start(number, "")
	}
	s.putConfig(1)
	s.awaitReady()
	status, body := s.postSpec(s.callers[0], "00000000000000cc", 1, leased.Spec{MS: 50, CPU: 1000, Crash: true})
	is.Equal(status, http.StatusOK)
	is.Equal(body, `{"state":"failed"}`)
	crashes := endpoints.crashes.Load()
	is.True(crashes < 6) // Three crashes, and fewer than three starts after them.

	status, body = s.postSpec(s.callers[1], "00000000000000cc", 1, leased.Spec{MS: 50, CPU: 1000, Crash: true})
	is.Equal(status, http.StatusOK) // Its caller sends it to another VM.
	is.Equal(body, `{"state":"failed"}`)
	is.Equal(endpoints.crashes.Load(), crashes)
	status, body = s.submitJob(s.callers[1], 4, 20, 1000)
	is.Equal(status, http.StatusOK)
	is.Equal(body, `{"state":"completed"}`)
	endpoints.restart.Wait()
}

// Guards against issue 28: one odd entry ended the VM that read it, then the next one to which its writer turned, and the owners to
// which it was passed on.
func TestPlatformServesWhileAWriterSendsOddEntries(t *testing.T) {
	is := is.New(t)
	s := startPlatformCluster(t, 2, 2)
	for number := range 2 {
		s.startEndpoint(number, 16000, nil)
	}
	s.putConfig(1)
	s.awaitReady()
	const entry = `{"service":"finder","address":%q,"zone":"sj1","slots":%s,"state":"ready","capacity":{"cpu":%s,"mem_mb":64,"gpu":0},"sequence":%s,"born":%s}`
	odd := []string{
		fmt.Sprintf(entry, "10.0.0.9:80", "8589934592", "16000", "1", "1"),
		fmt.Sprintf(entry, "10.0.0.9:80", "4611686018427387904", "16000", "1", "1"),
		fmt.Sprintf(entry, "10.0.0.9:80", "8", "4611686018427387904", "1", "1"),
		fmt.Sprintf(entry, "10.0.0.9:99999", "8", "16000", "1", "1"),
		fmt.Sprintf(entry, "10.0.0.9:0", "8", "16000", "1", "1"),
		fmt.Sprintf(entry, "10.0.0.9:80", "8", "16000", "1e400", "1"),
		fmt.Sprintf(entry, "10.0.0.9:80", "8", "16000", "1", "9223372036854775807"),
	}
	var writer sync.WaitGroup
	writer.Go(func() {
		for _, body := range odd {
			for _, control := range s.control {
				status, _ := s.call(http.MethodPut, control, "", "/instances/i-odd", body)
				is.Equal(status, http.StatusBadRequest)
			}
		}
	})
	for range 10 {
		for _, caller := range s.callers {
			status, body := s.submitJob(caller, 4, 20, 1000)
			is.Equal(status, http.StatusOK)
			is.Equal(body, `{"state":"completed"}`)
		}
	}
	writer.Wait()
}

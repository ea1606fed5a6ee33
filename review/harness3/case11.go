package main

import (
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	systems    = 2 // Systems side by side.
	catchUp    = 4 * time.Second
	recovery   = 12 * time.Second
	awayFor    = 3500 * time.Millisecond // How long the first machine is without power.
	darkFor    = 6 * time.Second         // How long after the others the last machine is back.
	lastStart  = 78 * time.Second
	olderState = 3
	newerState = 5
)

// kill ends a machine's process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// wipe empties a machine's disk.
func (m *machine) wipe() error {
	if err := os.RemoveAll(m.dataDir); err != nil {
		return err
	}
	return os.MkdirAll(m.dataDir, 0o755)
}

// relaunch starts a machine's process again, with settings that do not say that the whole system starts for the first time.
func (c *cluster) relaunch(m *machine) error {
	if err := c.writeSettings(m, false); err != nil {
		return err
	}
	return c.launch(m)
}

// forgottenDesiredState runs the case on several systems side by side, on one new system after the other, at most for as long as a case may run.
func forgottenDesiredState(c *cluster, trouble bool) (broken bool, err error) {
	results := make(chan error, systems)
	breaks := make(chan bool, systems)
	for i := range systems {
		go func() {
			broken, err := forgetOnNewSystems(c.program, i+1, trouble)
			breaks <- broken
			results <- err
		}()
	}
	for range systems {
		broken = <-breaks || broken
		if e := <-results; e != nil {
			err = e
		}
	}
	return broken, err
}

// forgetOnNewSystems plays rounds, each on a new system, until one breaks the rule.
func forgetOnNewSystems(program string, number int, trouble bool) (broken bool, err error) {
	for !broken && time.Since(startedAt) < lastStart {
		if broken, err = forgetOnNewSystem(program, number, trouble); err != nil {
			return false, err
		}
	}
	return broken, nil
}

func forgetOnNewSystem(program string, number int, trouble bool) (broken bool, err error) {
	c, err := newCluster(program, true)
	if err != nil {
		return false, err
	}
	defer c.stop()
	c.name = fmt.Sprintf("system %d: ", number)
	if err := c.start(); err != nil {
		return false, err
	}
	c.say("a new system has started")
	return forgetRound(c, trouble)
}

// forgetRound has one replica lose its power for a while, so that another machine takes its place. A second one is cut off, the first desired
// state is acknowledged, and all machines lose power, the third replica also its disk. It reports whether a machine answers with an older version
// than the acknowledged one once all are back.
func forgetRound(c *cluster, trouble bool) (broken bool, err error) {
	away, wiped, cutOff, spare := c.machine("core-alba-1"), c.machine("core-bistrita-1"), c.machine("core-cluj-1"), c.machine("core-mures-1")
	time.Sleep(3 * time.Second)
	if trouble {
		c.say("%s loses its power for %v", away.name, awayFor)
		away.kill()
		time.Sleep(awayFor)
		if err := c.relaunch(away); err != nil {
			return false, err
		}
		time.Sleep(catchUp + 500*time.Millisecond)
		c.say("%s is cut off from the other machines", cutOff.name)
		c.partition(cutOff, true)
	}
	c.putOlder(cutOff)
	if !put([]string{wiped.address(portControl), spare.address(portControl)}, desiredState(newerState), 10*time.Second) {
		c.say("version %d is not acknowledged", newerState)
		return false, nil
	}
	c.say("operator 2: version %d is acknowledged", newerState)
	if trouble {
		if err := c.losePower(wiped, spare); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		c.say("%s is connected again", cutOff.name)
		c.partition(cutOff, false)
	}
	accepted := false
	for until, i := time.Now().Add(darkFor-2*time.Second), 0; time.Now().Before(until); i++ {
		accepted = c.putOlder([]*machine{wiped, cutOff}[i%2]) == 200 || accepted
		time.Sleep(time.Second)
	}
	if trouble && !accepted {
		c.say("version %d is not acknowledged while %s is away: the round holds", olderState, spare.name)
		return false, nil
	}
	if trouble {
		c.say("%s is back", spare.name)
		if err := c.relaunch(spare); err != nil {
			return false, err
		}
		time.Sleep(recovery)
	}
	for _, m := range c.of("core", "") {
		status, version := readVersion(m)
		c.say("GET at %s: %d, version %d", m.name, status, version)
		broken = broken || version != 0 && version < newerState
	}
	return broken, nil
}

// losePower ends all processes; one machine loses its disk. All but one are back a second later.
func (c *cluster) losePower(wiped, last *machine) error {
	c.say("all machines lose power, %s also its disk; all but %s are back 1 s later", wiped.name, last.name)
	for _, m := range c.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range c.machines {
		<-m.ended
	}
	for _, link := range c.links {
		link.lose()
	}
	if err := wiped.wipe(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for _, m := range c.machines {
		if m == last {
			continue
		}
		if err := c.relaunch(m); err != nil {
			return err
		}
	}
	return nil
}

// putOlder sends the older desired state once.
func (c *cluster) putOlder(m *machine) (status int) {
	status, _, _ = call("PUT", "http://"+m.address(portControl)+"/config", "", desiredState(olderState), nil, time.Second)
	c.say("operator 1: PUT of version %d at %s: %d", olderState, m.name, status)
	return status
}

// readVersion reads the desired state at a machine. It returns version 0 when none is answered.
func readVersion(m *machine) (status, version int) {
	status, raw, err := call("GET", "http://"+m.address(portControl)+"/config", "", nil, nil, 2*time.Second)
	var body struct {
		Version int `json:"version"`
	}
	if err != nil || status != 200 || json.Unmarshal(raw, &body) != nil {
		return status, 0
	}
	return status, body.Version
}

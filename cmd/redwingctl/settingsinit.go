package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/settings"
)

const (
	maxReplicas      = 3  // Entry VMs with a disk, at most.
	listenersPerVM   = 4  // Listeners for callers, endpoints, operators and peers.
	portStride       = 10 // Distance between the first ports of two successive entry VMs.
	settingsFileMode = 0o644
	settingsDirMode  = 0o755
)

type settingsCommands struct {
	Init settingsInitCommand `cmd:"" help:"Write the settings files of entry VMs that run on this machine."`
}

type settingsInitCommand struct {
	Dir         string   `arg:"" help:"Folder for the files." type:"path"`
	Region      string   `default:"local" help:"Name of the region."`
	DataCentres []string `default:"sj1,sj2,sj3" help:"Names of the data centres."`
	VMs         int      `default:"1" help:"Entry VMs in each data centre." name:"vms"`
	Port        int      `default:"7001" help:"First port. Each entry VM uses four ports; the next one's begin ten higher."`
	Force       bool     `help:"Replace existing files."`
}

// Run writes one settings file for each entry VM.
func (c *settingsInitCommand) Run() error {
	cluster, err := c.cluster()
	if err != nil {
		return exitError{exitUsage, err}
	}
	if err := os.MkdirAll(c.Dir, settingsDirMode); err != nil {
		return err
	}
	for _, own := range cluster {
		path := filepath.Join(c.Dir, string(own.Node)+".json")
		if err := c.write(path, own); err != nil {
			return err
		}
		fmt.Println(path)
	}
	return nil
}

// cluster returns the settings of all entry VMs, which have passed the kernel's checks.
func (c *settingsInitCommand) cluster() ([]settings.Settings, error) {
	if c.VMs < 1 || len(c.DataCentres) == 0 {
		return nil, errors.New("there must be at least one data centre and one entry VM in it")
	}
	lastPort := c.Port + (c.VMs*len(c.DataCentres)-1)*portStride + listenersPerVM - 1
	if c.Port < 1 || lastPort > 65535 {
		return nil, errors.Newf("--port: the entry VMs need ports %d to %d", c.Port, lastPort)
	}
	cluster := make([]settings.Settings, 0, c.VMs*len(c.DataCentres))
	for vm := range c.VMs {
		for _, dataCentre := range c.DataCentres {
			cluster = append(cluster, c.settings(model.DataCentre(dataCentre), vm, len(cluster)))
		}
	}
	var members []settings.Member
	for i, own := range cluster {
		members = append(members, settings.Member{
			Node: own.Node, DataCentre: own.DataCentre, Peers: own.Listen.Peers, Endpoints: own.Listen.Endpoints,
			Disk: i < replicaCount(len(cluster)),
		})
	}
	for i := range cluster {
		cluster[i].Members = members
		if err := cluster[i].Check(); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

// replicaCount returns how many of the entry VMs get a disk: an odd number. The entry VMs with disks are spread over
// as many data centres as possible.
func replicaCount(vms int) int {
	if vms < maxReplicas {
		return 1
	}
	return maxReplicas
}

func (c *settingsInitCommand) settings(dataCentre model.DataCentre, vm, index int) settings.Settings {
	node := model.NodeID(fmt.Sprintf("%s-%s", dataCentre, letters(vm)))
	port := func(offset int) string {
		return net.JoinHostPort("127.0.0.1", strconv.Itoa(c.Port+index*portStride+offset))
	}
	return settings.Settings{
		Node: node, Region: c.Region, DataCentre: dataCentre,
		Listen:  settings.Listen{Callers: port(0), Endpoints: port(1), Operators: port(2), Peers: port(3)},
		DataDir: filepath.Join(c.Dir, "data", string(node)),
		Plugins: map[string]json.RawMessage{},
	}
}

// letters returns the letters of the n-th entry VM, counted from 0: a to z, then aa and so on.
func letters(n int) string {
	const alphabet = 26
	if n < alphabet {
		return string(rune('a' + n))
	}
	return letters(n/alphabet-1) + letters(n%alphabet)
}

func (c *settingsInitCommand) write(path string, own settings.Settings) error {
	raw, err := json.MarshalIndent(own, "", "  ")
	if err != nil {
		return err
	}
	flags := os.O_WRONLY | os.O_CREATE | os.O_TRUNC
	if !c.Force {
		flags |= os.O_EXCL
	}
	f, err := os.OpenFile(path, flags, settingsFileMode)
	if err != nil {
		return exitError{exitUsage, errors.Wrap(err, "--force replaces existing files")}
	}
	_, err = f.Write(append(raw, '\n'))
	return errors.Join(err, f.Close())
}

package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"redwingpulley/bench/standin"
)

type endpointCommand struct {
	Name       string   `required:"" help:"Endpoint id."`
	Service    string   `default:"finder" help:"Service whose tasks it runs."`
	DataCentre string   `required:"" help:"Data centre."`
	Listen     string   `default:"127.0.0.1:0" help:"Address on which it listens, ip:port."`
	Slots      int      `default:"8" help:"Tasks that it runs at once."`
	Advertise  string   `help:"Address that it announces, ip:port; its own listener otherwise."`
	Seed       uint64   `default:"1" help:"Seed for choosing the tasks that fail or are refused."`
	Fail       float64  `default:"0" help:"Share of tasks that fail, 0 to 1."`
	Refuse     float64  `default:"0" help:"Share of tasks that are refused, 0 to 1."`
	Factor     float64  `default:"1" help:"Factor by which run times are multiplied."`
	Entry      []string `required:"" help:"Endpoint listeners of entry VMs, ip:port."`
}

// Run serves until SIGTERM or SIGINT. PUT /control/behaviour on its listener changes its faults, and GET
// /control/records returns the requests that it received.
func (c *endpointCommand) Run() error {
	e, err := standin.Start(standin.Config{
		Endpoint: c.Name, Service: c.Service, Worker: c.Name, Rack: "r1", DataCentre: c.DataCentre,
		Listen: c.Listen, Slots: c.Slots, Entries: c.Entry, Advertise: c.Advertise, Seed: c.Seed,
		Behaviour: standin.Behaviour{FailShare: c.Fail, RefuseShare: c.Refuse, RunFactor: c.Factor},
	})
	if err != nil {
		return err
	}
	defer e.Close()
	fmt.Println("serving at", e.Address())
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-signals.Done()
	return nil
}

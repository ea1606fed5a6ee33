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
	Service    string   `default:"finder" help:"Service that it runs."`
	DataCentre string   `required:"" help:"Data centre."`
	Listen     string   `default:"127.0.0.1:0" help:"Address, ip:port."`
	Slots      int      `default:"8" help:"Tasks that it runs at once."`
	Entry      []string `required:"" help:"Endpoint listeners of entry VMs, ip:port."`
}

// Run serves until a signal asks for the end.
func (c *endpointCommand) Run() error {
	e, err := standin.Start(standin.Config{
		Endpoint: c.Name, Service: c.Service, Worker: c.Name, Rack: "r1", DataCentre: c.DataCentre,
		Listen: c.Listen, Slots: c.Slots, Entries: c.Entry,
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

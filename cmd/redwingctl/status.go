package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"redwingpulley/cmd/internal/operatorclient"
	"redwingpulley/kernel/model"
)

type statusCommand struct{ operatorFlags }

type statusReply struct {
	Node        model.NodeID      `json:"node"`
	Incarnation model.Incarnation `json:"incarnation"`
	Revision    model.Revision    `json:"revision"`
	Replica     string            `json:"replica"`
	Ready       bool              `json:"ready"`
	Why         []string          `json:"why"`
	Members     int               `json:"members"`
	Endpoints   int               `json:"endpoints"`
	Evacuated   []string          `json:"evacuated"`
}

// Run prints the state of the first entry VM that answers.
func (c *statusCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var s statusReply
	reply, err := c.get(ctx, "/v1/status", &s)
	if err != nil {
		return err
	}
	return c.show(reply, func(w io.Writer) {
		fmt.Fprintf(w, "node\t%s\n", s.Node)
		fmt.Fprintf(w, "incarnation\t%s\n", s.Incarnation)
		fmt.Fprintf(w, "ready\t%t\t%s\n", s.Ready, strings.Join(s.Why, "; "))
		fmt.Fprintf(w, "profiles\trevision %d\n", s.Revision)
		fmt.Fprintf(w, "replica\t%s\n", s.Replica)
		fmt.Fprintf(w, "members alive\t%d\n", s.Members)
		fmt.Fprintf(w, "endpoints owned\t%d\n", s.Endpoints)
		if len(s.Evacuated) > 0 {
			fmt.Fprintf(w, "evacuated\t%s\n", strings.Join(s.Evacuated, ", "))
		}
	})
}

type endpointsCommand struct{ operatorFlags }

type endpointsReply struct {
	Endpoints []struct {
		Endpoint    model.EndpointID `json:"endpoint"`
		Service     model.ServiceID  `json:"service"`
		Address     string           `json:"address"`
		State       string           `json:"state"`
		Slots       int              `json:"slots"`
		Busy        int              `json:"busy"`
		Quarantined bool             `json:"quarantined"`
	} `json:"endpoints"`
}

// Run lists the endpoints that the entry VM owns.
func (c *endpointsCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var all endpointsReply
	reply, err := c.get(ctx, "/v1/endpoints", &all)
	if err != nil {
		return err
	}
	return c.show(reply, func(w io.Writer) {
		fmt.Fprintln(w, "ENDPOINT\tSERVICE\tADDRESS\tSTATE\tBUSY\tSLOTS\tQUARANTINED")
		for _, e := range all.Endpoints {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%t\n", e.Endpoint, e.Service, e.Address, e.State, e.Busy, e.Slots, e.Quarantined)
		}
	})
}

type drainCommand struct {
	Operators []string `required:"" help:"Operators' listener of the entry VM that is to drain, ip:port; just one."`
}

// Run starts the drain of one entry VM, as SIGTERM would.
func (c *drainCommand) Run() error {
	if len(c.Operators) != 1 {
		return exitError{exitUsage, errors.New("--operators: must name one entry VM")}
	}
	ctx, stop := signalContext()
	defer stop()
	reply, err := operatorclient.New(c.Operators, "").Post(ctx, "/v1/drain")
	switch {
	case err == operatorclient.ErrUnknown:
		return exitError{exitUnknown, err}
	case err != nil:
		return exitError{exitRefused, err}
	}
	if err := refusalError(reply); err != nil {
		return err
	}
	fmt.Println("draining")
	return nil
}

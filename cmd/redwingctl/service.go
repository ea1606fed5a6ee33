package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"redwingpulley/kernel/model"
)

type serviceCommands struct {
	List serviceListCommand `cmd:"" help:"List the services that have chosen a profile."`
	Get  serviceGetCommand  `cmd:"" help:"Print the profile that a service runs under."`
	Set  serviceSetCommand  `cmd:"" help:"Choose a service's profile."`
}

type servicesReply struct {
	Revision model.Revision                        `json:"revision"`
	Services map[model.ServiceID]model.ProfileName `json:"services"`
}

type serviceListCommand struct{ operatorFlags }

// Run lists the services that have chosen a profile, with the profile's name.
func (c *serviceListCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var all servicesReply
	reply, err := c.get(ctx, "/v1/services", &all)
	if err != nil {
		return err
	}
	return c.show(reply, func(w io.Writer) {
		fmt.Fprintln(w, "revision", all.Revision)
		fmt.Fprintln(w, "SERVICE\tPROFILE")
		for _, service := range slices.Sorted(maps.Keys(all.Services)) {
			fmt.Fprintf(w, "%s\t%s\n", service, all.Services[service])
		}
	})
}

type serviceChoice struct {
	Profile string `json:"profile"`
}

func servicePath(service string) string { return "/v1/services/" + url.PathEscape(service) }

type serviceGetCommand struct {
	operatorFlags
	Service string `arg:"" help:"Name of the service."`
}

// Run prints the service's profile.
func (c *serviceGetCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var choice serviceChoice
	reply, err := c.get(ctx, servicePath(c.Service), &choice)
	if err != nil {
		return err
	}
	return c.show(reply, func(w io.Writer) { fmt.Fprintln(w, choice.Profile) })
}

type serviceSetCommand struct {
	editFlags
	Service string `arg:"" help:"Name of the service."`
	Profile string `arg:"" help:"Name of the profile."`
}

// Run chooses the service's profile.
func (c *serviceSetCommand) Run() error {
	body, err := json.Marshal(serviceChoice{c.Profile})
	if err != nil {
		return err
	}
	return c.edit(http.MethodPut, servicePath(c.Service), body)
}

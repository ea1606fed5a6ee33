package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"redwingpulley/kernel/model"
)

type evacuationCommands struct {
	List  evacuationListCommand  `cmd:"" help:"List the data centres that are evacuated."`
	Start evacuationStartCommand `cmd:"" help:"Evacuate a data centre: no more tasks start there."`
	End   evacuationEndCommand   `cmd:"" help:"End the evacuation of a data centre."`
}

type evacuationsReply struct {
	Evacuated []model.DataCentre `json:"evacuated"`
	Revision  model.Revision     `json:"revision"`
}

type evacuationListCommand struct{ operatorFlags }

// Run lists the evacuated data centres.
func (c *evacuationListCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var all evacuationsReply
	reply, err := c.get(ctx, "/v1/evacuations", &all)
	if err != nil {
		return err
	}
	return c.show(reply, func(w io.Writer) {
		fmt.Fprintln(w, "revision", all.Revision)
		fmt.Fprintln(w, "EVACUATED")
		for _, dc := range all.Evacuated {
			fmt.Fprintln(w, dc)
		}
	})
}

func evacuationPath(dc string) string { return "/v1/evacuations/" + url.PathEscape(dc) }

type evacuationStartCommand struct {
	editFlags
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// Run evacuates the data centre.
func (c *evacuationStartCommand) Run() error {
	return c.edit(http.MethodPut, evacuationPath(c.DataCentre), nil)
}

type evacuationEndCommand struct {
	editFlags
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// Run ends the evacuation of the data centre.
func (c *evacuationEndCommand) Run() error {
	return c.edit(http.MethodDelete, evacuationPath(c.DataCentre), nil)
}

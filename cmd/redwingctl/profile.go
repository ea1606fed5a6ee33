package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
)

const longPollTime = 8 * time.Second // Maximum wait of one long poll; shorter than the client's timeout for one request.

type profileCommands struct {
	List    profileListCommand    `cmd:"" help:"List the profiles in force."`
	Get     profileGetCommand     `cmd:"" help:"Print a profile as a declaration."`
	Put     profilePutCommand     `cmd:"" help:"Publish a declaration."`
	Delete  profileDeleteCommand  `cmd:"" help:"Delete a profile that no service has chosen."`
	History profileHistoryCommand `cmd:"" help:"List the newest changes."`
	Watch   profileWatchCommand   `cmd:"" help:"Print each revision as it comes into force."`
}

// profileSummary is the part of a profile's declaration that the list shows.
type profileSummary struct {
	Name       model.ProfileName        `json:"name"`
	Placement  string                   `json:"placement"`
	Admission  string                   `json:"admission"`
	QueueTasks int                      `json:"queue_tasks"`
	Quotas     map[model.TeamID]float64 `json:"quotas"`
}

type profilesReply struct {
	Revision model.Revision   `json:"revision"`
	Profiles []profileSummary `json:"profiles"`
}

func (r profilesReply) write(w io.Writer) {
	fmt.Fprintln(w, "revision", r.Revision)
	fmt.Fprintln(w, "PROFILE\tPLACEMENT\tADMISSION\tQUEUE\tTEAMS")
	for _, p := range r.Profiles {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", p.Name, p.Placement, p.Admission, p.QueueTasks, len(p.Quotas))
	}
}

type profileListCommand struct{ operatorFlags }

// Run lists the profiles.
func (c *profileListCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var all profilesReply
	reply, err := c.get(ctx, "/v1/profiles", &all)
	if err != nil {
		return err
	}
	return c.show(reply, all.write)
}

type profileGetCommand struct {
	operatorFlags
	Name string `arg:"" help:"Name of the profile."`
}

// Run prints the profile's declaration, the same in both outputs.
func (c *profileGetCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var declaration json.RawMessage
	if _, err := c.get(ctx, profilePath(c.Name), &declaration); err != nil {
		return err
	}
	indented, err := json.MarshalIndent(declaration, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(indented))
	return nil
}

func profilePath(name string) string { return "/v1/profiles/" + url.PathEscape(name) }

type profilePutCommand struct {
	editFlags
	File string `arg:"" help:"File with the declaration (JSON); - reads the standard input."`
}

// Run publishes the declaration under the name that it contains.
func (c *profilePutCommand) Run() error {
	raw, err := readInput(c.File)
	if err != nil {
		return exitError{exitUsage, errors.Wrap(err, "declaration")}
	}
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(raw, &named); err != nil {
		return exitError{exitUsage, errors.Wrap(err, "declaration")}
	}
	if named.Name == "" {
		return exitError{exitUsage, errors.New("declaration: name: must be set")}
	}
	return c.edit(http.MethodPut, profilePath(named.Name), raw)
}

type profileDeleteCommand struct {
	editFlags
	Name string `arg:"" help:"Name of the profile."`
}

// Run deletes the profile.
func (c *profileDeleteCommand) Run() error {
	return c.edit(http.MethodDelete, profilePath(c.Name), nil)
}

type historyReply struct {
	Changes []struct {
		Revision model.Revision    `json:"revision"`
		At       time.Time         `json:"at"`
		Operator string            `json:"operator"`
		Change   string            `json:"change"`
		Profile  model.ProfileName `json:"profile"`
		Service  model.ServiceID   `json:"service"`

		DataCentre model.DataCentre `json:"data_centre"`
	} `json:"changes"`
}

func (r historyReply) write(w io.Writer) {
	fmt.Fprintln(w, "REVISION\tAT\tOPERATOR\tCHANGE\tPROFILE\tSERVICE\tDATA CENTRE")
	for _, c := range r.Changes {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Revision, c.At.UTC().Format(time.RFC3339), c.Operator, c.Change, c.Profile, c.Service, c.DataCentre)
	}
}

type profileHistoryCommand struct {
	operatorFlags
	Name string `arg:"" optional:"" help:"Only changes of this profile."`
}

// Run lists the changes.
func (c *profileHistoryCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	path := "/v1/history"
	if c.Name != "" {
		path = profilePath(c.Name) + "/history"
	}
	var changes historyReply
	reply, err := c.get(ctx, path, &changes)
	if err != nil {
		return err
	}
	return c.show(reply, changes.write)
}

type profileWatchCommand struct {
	operatorFlags
	Revisions int `help:"End after so many revisions; 0 goes on until a signal."`
}

// Run prints the profiles in force and then those of each newer revision.
func (c *profileWatchCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	path := "/v1/profiles"
	for shown := 0; c.Revisions == 0 || shown < c.Revisions; {
		next, isNew, err := c.next(ctx, path)
		if err != nil || ctx.Err() != nil {
			return watchError(ctx, err)
		}
		if isNew {
			shown++
		}
		path = next
	}
	return nil
}

// watchError returns err, or nil if a signal has ended the watch.
func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// next requests path and prints the answer if it is a new revision. It returns the path of the next request.
func (c *profileWatchCommand) next(ctx context.Context, path string) (next string, isNew bool, err error) {
	var all profilesReply
	reply, err := c.get(ctx, path, &all)
	if err != nil {
		return "", false, err
	}
	next = fmt.Sprintf("/v1/profiles?after=%d&wait_ms=%d", all.Revision, longPollTime.Milliseconds())
	if next == path {
		return next, false, nil
	}
	if c.Output == "json" {
		_, err = os.Stdout.Write(reply.Body)
		return next, true, err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	all.write(table)
	return next, true, table.Flush()
}

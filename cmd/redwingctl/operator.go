package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"redwingpulley/cmd/internal/operatorclient"
	"redwingpulley/kernel/model"
)

// operatorFlags are the flags of all commands that send requests to operators' listeners.
type operatorFlags struct {
	Operators []string `default:"127.0.0.1:7003" help:"Operators' listeners of entry VMs, ip:port; the next is tried when one does not answer."`
	As        string   `env:"USER" help:"Name of the operator, for the history."`
	Output    string   `enum:"text,json" default:"text" help:"text or json."`
}

func (f operatorFlags) client() *operatorclient.Client {
	return operatorclient.New(f.Operators, f.As)
}

// signalContext returns a context that ends at SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// get requests path, decodes the answer's body into target and returns the answer.
func (f operatorFlags) get(ctx context.Context, path string, target any) (operatorclient.Reply, error) {
	reply, err := f.client().Get(ctx, path)
	if err != nil {
		return reply, exitError{exitRefused, err}
	}
	if err := refusalError(reply); err != nil {
		return reply, err
	}
	return reply, errors.Wrapf(json.Unmarshal(reply.Body, target), "answer to %s", path)
}

// refusalError returns an error with the matching exit code if the answer is a refusal, otherwise nil.
func refusalError(reply operatorclient.Reply) error {
	if reply.Status < http.StatusBadRequest {
		return nil
	}
	p := reply.Problem()
	if p.Run == model.MayHaveRun {
		return exitError{exitUnknown, errors.Newf("%s: %s (it may have taken effect)", p.Reason, p.Detail)}
	}
	return exitError{exitRefused, errors.Newf("%s: %s", p.Reason, p.Detail)}
}

// show prints the answer: its body unchanged if JSON is wanted, otherwise as text.
func (f operatorFlags) show(reply operatorclient.Reply, text func(w io.Writer)) error {
	if f.Output == "json" {
		_, err := os.Stdout.Write(reply.Body)
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// editFlags are the flags of all commands that change the register of profiles.
type editFlags struct {
	operatorFlags
	IfMatch *uint64 `help:"Revision that the change was made for; the current one when it is left out."`
	Key     string  `help:"Idempotency key; a random one when it is left out. Give the one printed to send a change again."`
}

type revisionReply struct {
	Revision model.Revision `json:"revision"`
}

// edit sends an edit and prints the revision that it created.
func (f editFlags) edit(method, path string, body []byte) error {
	ctx, stop := signalContext()
	defer stop()
	expect, err := f.expectedRevision(ctx)
	if err != nil {
		return err
	}
	key := f.Key
	if key == "" {
		key = operatorclient.NewKey()
	}
	reply, err := f.client().Edit(ctx, operatorclient.Edit{Method: method, Path: path, Body: body, Expect: expect, Key: key})
	if errors.Is(err, operatorclient.ErrUnknown) {
		return exitError{exitUnknown, errors.Wrapf(err, "send it again with --key %s --if-match %d", key, expect)}
	}
	if err != nil {
		return exitError{exitRefused, err}
	}
	if err := refusalError(reply); err != nil {
		return err
	}
	var done revisionReply
	if err := json.Unmarshal(reply.Body, &done); err != nil {
		return errors.Wrap(err, "answer")
	}
	return f.show(reply, func(w io.Writer) { fmt.Fprintln(w, "revision", done.Revision) })
}

func (f editFlags) expectedRevision(ctx context.Context) (model.Revision, error) {
	if f.IfMatch != nil {
		return model.Revision(*f.IfMatch), nil
	}
	var current revisionReply
	reply, err := f.get(ctx, "/v1/services", &current)
	if err != nil {
		return 0, err
	}
	revision, err := strconv.ParseUint(reply.ETag, 10, 64)
	return model.Revision(revision), errors.Wrap(err, "ETag")
}

package plugin

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/errors/errbase"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/settings"
)

// Host runs the plug-ins of one process.
type Host struct {
	Metrics metrics.Registry
	Health  *Health

	log     *slog.Logger
	node    settings.Settings
	plugins []instance // In the order in which they start.
	bound   map[Port][]binding
	started int

	drainOnce sync.Once
	drain     chan struct{}
}

type instance struct {
	definition Definition
	plugin     Plugin
}

type binding struct {
	id             ID
	implementation any
}

// NewHost provisions and validates the given plug-ins. All faults of settings are reported
// together.
func NewHost(node settings.Settings, log *slog.Logger, definitions []Definition) (*Host, error) {
	ordered, err := order(chosen(node, definitions))
	if err != nil {
		return nil, err
	}
	h := &Host{
		Metrics: metrics.NewRegistry(),
		Health:  NewHealth(),
		log:     log,
		node:    node,
		bound:   make(map[Port][]binding),
		drain:   make(chan struct{}),
	}
	faults := unknownPlugins(node, definitions)
	for _, d := range ordered {
		faults = append(faults, parts(h.provision(d))...)
	}
	if err := errors.Join(causes(faults)...); err != nil {
		return nil, err
	}
	return h, h.validate()
}

// causes leaves out the plug-ins that only lack a port, when another's fault is the cause. Faults
// are kept in a list and joined once: the text of joins within joins takes exponential time.
func causes(faults []error) []error {
	others := slices.DeleteFunc(slices.Clone(faults), func(err error) bool {
		return err == nil || errors.Is(err, errMissingPort)
	})
	if len(others) == 0 {
		return faults
	}
	return others
}

// parts returns the errors that were joined in err, also behind the stack trace that a join adds.
func parts(err error) []error {
	joined := errbase.UnwrapMulti(err)
	if joined == nil {
		joined = errbase.UnwrapMulti(errors.UnwrapOnce(err))
	}
	if joined == nil {
		return []error{err}
	}
	var all []error
	for _, part := range joined {
		all = append(all, parts(part)...)
	}
	return all
}

// chosen returns the plug-ins that a process with these settings runs.
func chosen(node settings.Settings, definitions []Definition) []Definition {
	return slices.DeleteFunc(slices.Clone(definitions), func(d Definition) bool {
		_, named := node.Plugins[string(d.ID)]
		return d.Optional && !named || slices.Contains(node.Without, string(d.ID))
	})
}

func unknownPlugins(node settings.Settings, definitions []Definition) []error {
	known := make(map[string]bool, len(definitions))
	for _, d := range definitions {
		known[string(d.ID)] = true
	}
	var faults []error
	for _, id := range slices.Sorted(maps.Keys(node.Plugins)) {
		if !known[id] {
			faults = append(faults, errors.Newf("plugins.%s: no such plug-in", id))
		}
	}
	for i, id := range node.Without {
		if !known[id] {
			faults = append(faults, errors.Newf("without[%d]: no such plug-in as %s", i, id))
		}
	}
	return faults
}

func (h *Host) provision(d Definition) error {
	p := d.New()
	h.plugins = append(h.plugins, instance{d, p})
	return p.Provision(&Context{
		ID:      d.ID,
		Node:    h.node,
		Log:     h.log.With(event.Text(event.Plugin, d.ID)),
		Metrics: h.Metrics,
		Health:  h.Health,
		host:    h,
	})
}

func (h *Host) validate() error {
	var faults []error
	for _, i := range h.plugins {
		if v, ok := i.plugin.(Validator); ok {
			faults = append(faults, errors.Wrapf(v.Validate(), "%s", i.definition.ID))
		}
	}
	return errors.Join(faults...)
}

// Start starts the plug-ins; the process is not ready before the last of them. When one fails,
// those already started are stopped.
func (h *Host) Start() error {
	const condition = "starting"
	h.Health.Block(condition, "not all plug-ins have started")
	for _, i := range h.plugins {
		if s, ok := i.plugin.(Starter); ok {
			if err := s.Start(); err != nil {
				return errors.Join(errors.Wrapf(err, "start %s", i.definition.ID), h.Stop())
			}
		}
		h.started++
	}
	h.Health.Clear(condition)
	return nil
}

// Reload passes changed settings to the plug-ins that take them.
func (h *Host) Reload(node settings.Settings) {
	for _, i := range h.plugins {
		if r, ok := i.plugin.(Reloader); ok {
			r.Reload(node)
		}
	}
}

func (h *Host) requestDrain() { h.drainOnce.Do(func() { close(h.drain) }) }

// DrainRequested returns a channel that is closed once a plug-in asks for a drain.
func (h *Host) DrainRequested() <-chan struct{} { return h.drain }

// Drain marks the process as not ready, then lets each plug-in finish what is in flight, in
// reverse order of starting.
func (h *Host) Drain(ctx context.Context) {
	h.Health.Block("draining", "the process is shutting down")
	for i := h.started - 1; i >= 0; i-- {
		if d, ok := h.plugins[i].plugin.(Drainer); ok {
			d.Drain(ctx)
		}
	}
}

// Stop stops the started plug-ins in reverse order.
func (h *Host) Stop() error {
	var faults []error
	for ; h.started > 0; h.started-- {
		i := h.plugins[h.started-1]
		if s, ok := i.plugin.(Stopper); ok {
			faults = append(faults, errors.Wrapf(s.Stop(), "stop %s", i.definition.ID))
		}
	}
	return errors.Join(faults...)
}

// Lookup returns the one implementation of port T that a host's plug-ins bound.
func Lookup[T any](h *Host) (T, error) {
	return Use[T](&Context{ID: "host", host: h})
}

// LookupAll returns the implementations of port T by their plug-ins' names.
func LookupAll[T any](h *Host) map[string]T {
	return UseAll[T](&Context{ID: "host", host: h})
}

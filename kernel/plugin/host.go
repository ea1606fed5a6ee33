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

	log      *slog.Logger
	node     settings.Settings
	plugins  []instance // Plug-ins in the order in which they start.
	bindings map[Port][]binding
	started  int // Number of plug-ins, from the first, that are started.

	drainOnce      sync.Once
	drainRequested chan struct{}
}

type instance struct {
	definition Definition
	plugin     Plugin
}

type binding struct {
	id             ID
	implementation any
}

// NewHost provisions and validates those of the given plug-ins that the settings enable. The error
// joins all faults of the settings.
func NewHost(node settings.Settings, log *slog.Logger, definitions []Definition) (*Host, error) {
	ordered, err := startOrder(enabled(node, definitions))
	if err != nil {
		return nil, err
	}
	h := &Host{
		Metrics:        metrics.NewRegistry(),
		Health:         NewHealth(),
		log:            log,
		node:           node,
		bindings:       make(map[Port][]binding),
		drainRequested: make(chan struct{}),
	}
	faults := unknownPlugins(node, definitions)
	for _, d := range ordered {
		faults = append(faults, unjoin(h.provision(d))...)
	}
	if err := errors.Join(rootCauses(faults)...); err != nil {
		return nil, err
	}
	return h, h.validate()
}

// rootCauses returns the faults without those that only report a missing port, unless there are no
// others: the port is then missing because its provider failed. Errors are kept in a list and joined
// once, since formatting nested joined errors takes exponential time.
func rootCauses(faults []error) []error {
	causes := slices.DeleteFunc(slices.Clone(faults), func(err error) bool {
		return err == nil || errors.Is(err, errMissingPort)
	})
	if len(causes) == 0 {
		return faults
	}
	return causes
}

// unjoin returns the errors that were joined in err. It also looks below the stack trace with which
// errors.Join wraps them.
func unjoin(err error) []error {
	joined := errbase.UnwrapMulti(err)
	if joined == nil {
		joined = errbase.UnwrapMulti(errors.UnwrapOnce(err))
	}
	if joined == nil {
		return []error{err}
	}
	var all []error
	for _, part := range joined {
		all = append(all, unjoin(part)...)
	}
	return all
}

// enabled returns the plug-ins that a process with these settings runs.
func enabled(node settings.Settings, definitions []Definition) []Definition {
	return slices.DeleteFunc(slices.Clone(definitions), func(d Definition) bool {
		_, configured := node.Plugins[string(d.ID)]
		return d.Optional && !configured || slices.Contains(node.Without, string(d.ID))
	})
}

// unknownPlugins returns an error for each plug-in that is named in the settings but not linked.
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
			faults = append(faults, errors.Newf("without[%d]: no such plug-in: %s", i, id))
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

// Start starts the plug-ins. The process is not ready until all of them have started. When one fails
// to start, those already started are stopped.
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

// Reload passes changed settings to the plug-ins that implement Reloader.
func (h *Host) Reload(node settings.Settings) {
	for _, i := range h.plugins {
		if r, ok := i.plugin.(Reloader); ok {
			r.Reload(node)
		}
	}
}

func (h *Host) requestDrain() { h.drainOnce.Do(func() { close(h.drainRequested) }) }

// DrainRequested returns a channel that is closed once a plug-in has asked for a drain.
func (h *Host) DrainRequested() <-chan struct{} { return h.drainRequested }

// Drain marks the process as not ready. Then the started plug-ins finish their requests in flight, one
// plug-in after another in reverse order of their start.
func (h *Host) Drain(ctx context.Context) {
	h.Health.Block("draining", "the process is shutting down")
	for i := h.started - 1; i >= 0; i-- {
		if d, ok := h.plugins[i].plugin.(Drainer); ok {
			d.Drain(ctx)
		}
	}
}

// Stop stops the started plug-ins in reverse order of their start.
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

// Lookup returns the implementation of port T among a host's plug-ins. It fails unless exactly one is
// bound.
func Lookup[T any](h *Host) (T, error) {
	return Use[T](&Context{ID: "host", host: h})
}

// LookupAll returns all implementations of port T among a host's plug-ins by the names of the
// plug-ins.
func LookupAll[T any](h *Host) map[string]T {
	return UseAll[T](&Context{ID: "host", host: h})
}

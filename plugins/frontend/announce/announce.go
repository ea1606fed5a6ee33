// Package announce accepts announcements from endpoints as JSON over HTTP.
package announce

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/frontend/web"
)

const (
	maxConnections = 65535
	stopTimeout    = 2 * time.Second // Longest wait at shutdown for announcements in flight.
)

// Frontend is the plug-in. Create it through the registry.
type Frontend struct {
	pools  port.Pools
	server *web.Server
}

// Provision resolves the port that the plug-in needs and sets up the HTTP route.
func (f *Frontend) Provision(c *plugin.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/endpoints/announce", f.announce)
	f.server = web.NewServer(c.Node.Listen.Endpoints, mux)
	return errors.Join(c.Settings(&struct{}{}), plugin.Need(c, &f.pools))
}

// Start opens the listener.
func (f *Frontend) Start() error { return f.server.Start() }

// Stop closes the listener, waits up to stopTimeout for announcements in flight and closes all
// connections. The listener stays open during a drain, while endpoints still run tasks of this
// process.
func (f *Frontend) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	f.server.Drain(ctx)
	return f.server.Stop()
}

type announceBody struct {
	Endpoint     model.EndpointID    `json:"endpoint"`
	Service      model.ServiceID     `json:"service"`
	Worker       string              `json:"worker"`
	Kind         string              `json:"kind"` // Optional.
	Rack         string              `json:"rack"`
	DataCentre   model.DataCentre    `json:"data_centre"`
	Address      string              `json:"address"`
	Slots        int                 `json:"slots"`
	Connections  int                 `json:"connections"`
	Cores        int                 `json:"cores"`
	MemoryMB     int                 `json:"memory_mb"`
	Accelerators int                 `json:"accelerators"`
	State        model.EndpointState `json:"state"`
	Running      []model.TaskID      `json:"running"`
}

type announceReply struct {
	Owner   string `json:"owner"`    // ip:port to which the endpoint announces itself next.
	EveryMS int64  `json:"every_ms"` // Interval between announcements.
	LeaseMS int64  `json:"lease_ms"` // Time without an announcement after which the endpoint gets no more work.
}

func (f *Frontend) announce(w http.ResponseWriter, r *http.Request) {
	var b announceBody
	if !web.DecodeOrRefuse(w, r, &b, func() error { return b.check() }) {
		return
	}
	ownership := f.pools.Announce(r.Context(), b.endpoint())
	web.WriteJSON(w, http.StatusOK, announceReply{
		ownership.Owner, ownership.Interval.Milliseconds(), ownership.Lease.Milliseconds(),
	})
}

// check returns an error that names the first invalid field.
func (b announceBody) check() error {
	if b.Connections < 0 || b.Connections > maxConnections {
		return errors.Newf("connections: must be 0 to %d", maxConnections)
	}
	if b.Cores < 0 || b.Cores > model.MaxMilliCores/model.MilliCoresPerCore {
		return errors.Newf("cores: must be 0 to %d", model.MaxMilliCores/model.MilliCoresPerCore)
	}
	if len(b.Running) > model.MaxSlots {
		return errors.Newf("running: must be at most %d tasks", model.MaxSlots)
	}
	if b.State == model.EndpointGone {
		return errors.New("state: must be serving or leaving")
	}
	e := b.endpoint()
	if err := e.Check(); err != nil {
		return err
	}
	return model.CheckAddress(b.Address)
}

func (b announceBody) endpoint() model.Endpoint {
	return model.Endpoint{
		ID: b.Endpoint, Service: b.Service, Worker: b.Worker, Kind: b.Kind, Rack: b.Rack, DataCentre: b.DataCentre,
		Address: b.Address, Slots: b.Slots, Connections: b.Connections,
		Has:   model.Needs{MilliCores: b.Cores * model.MilliCoresPerCore, MemoryMB: b.MemoryMB, Accelerators: b.Accelerators},
		State: b.State, Running: b.Running,
	}
}

package model

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Limits on what endpoints, callers and members may name. They keep sums over all endpoints of a service within an int.
const (
	MaxSlots        = 4096       // Slots of one endpoint.
	MaxMilliCores   = 10_000_000 // Of one worker or task, in thousandths of a core.
	MaxMemoryMB     = 1 << 30    // Of one worker or task.
	MaxAccelerators = 1 << 16    // Of one worker or task.
	MaxName         = 128        // Length of a name, in bytes.
	MaxWeight       = 1e6        // Weight of a member among the owners of pools.
	MaxEndpointID   = 2 * MaxName
)

// Check returns an error that names the first resource whose amount is negative or above its limit.
func (n Needs) Check() error {
	switch {
	case n.MilliCores < 0 || n.MilliCores > MaxMilliCores:
		return errors.Newf("cores: must be 0 to %d thousandths", MaxMilliCores)
	case n.MemoryMB < 0 || n.MemoryMB > MaxMemoryMB:
		return errors.Newf("memory: must be 0 to %d MB", MaxMemoryMB)
	case n.Accelerators < 0 || n.Accelerators > MaxAccelerators:
		return errors.Newf("accelerators: must be 0 to %d", MaxAccelerators)
	}
	return nil
}

// Check returns an error that names the first field which no endpoint can have. It does not check the form of the address.
func (e *Endpoint) Check() error {
	switch {
	case e.ID == "" || len(e.ID) > MaxEndpointID:
		return errors.Newf("endpoint: must have 1 to %d bytes", MaxEndpointID)
	case e.Service == "" || len(e.Service) > MaxName:
		return errors.Newf("service: must have 1 to %d bytes", MaxName)
	case e.DataCentre == "" || len(e.DataCentre) > MaxName:
		return errors.Newf("data_centre: must have 1 to %d bytes", MaxName)
	case len(e.Worker) > MaxName || len(e.Kind) > MaxName || len(e.Rack) > MaxName || len(e.Address) > MaxName:
		return errors.Newf("worker, kind, rack, address: must have at most %d bytes", MaxName)
	case e.Slots < 1 || e.Slots > MaxSlots:
		return errors.Newf("slots: must be 1 to %d", MaxSlots)
	case len(e.Running) > 2*MaxSlots:
		return errors.Newf("running: must have at most %d tasks", 2*MaxSlots)
	case e.State != EndpointServing && e.State != EndpointLeaving && e.State != EndpointGone:
		return errors.New("state: must be serving, leaving or gone")
	case e.Born < 0 || e.Lease < 0:
		return errors.New("born, lease: must not be negative")
	case e.Factor < 0:
		return errors.New("factor: must not be negative")
	case e.Taken.MilliCores < 0 || e.Taken.MemoryMB < 0 || e.Taken.Accelerators < 0:
		return errors.New("taken: must not be negative")
	}
	return e.Has.Check()
}

// CheckAddress returns an error unless the address is an IP address with a port at which something can listen.
func CheckAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return errors.New("address: must be an IP address and port")
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		return errors.New("address: must be one at which an endpoint can listen")
	}
	return nil
}

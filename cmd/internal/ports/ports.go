// Package ports finds free ports for entry VMs whose addresses must be known before they start.
package ports

import (
	"net"

	"github.com/cockroachdb/errors"
)

// Reserved holds free ports of 127.0.0.1 open until their user is about to listen at them, so that
// nothing else takes them. The key is the address.
type Reserved map[string]net.Listener

// Take reserves so many addresses.
func (r Reserved) Take(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		address := listener.Addr().String()
		r[address] = listener
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// Release gives reserved addresses to their user.
func (r Reserved) Release(addresses ...string) {
	for _, address := range addresses {
		if listener, ok := r[address]; ok {
			listener.Close()
			delete(r, address)
		}
	}
}

// ReleaseAll gives up all reserved addresses.
func (r Reserved) ReleaseAll() {
	for address := range r {
		r.Release(address)
	}
}

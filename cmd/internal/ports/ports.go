// Package ports finds free ports for entry VMs whose addresses must be known before they start, and
// that use them again after a restart.
package ports

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Ports are taken from below the range from which systems give ports to outgoing connections, so
// that none of these takes one while its entry VM is down.
const (
	lowest  = 10_000
	highest = 32_000
	tries   = 1000 // For one free port.
)

// Reserved holds free ports of 127.0.0.1 open until their user is about to listen at them, so that
// nothing else takes them. The key is the address.
type Reserved map[string]net.Listener

// Take reserves so many addresses.
func (r Reserved) Take(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := listen()
		if err != nil {
			return nil, err
		}
		address := listener.Addr().String()
		r[address] = listener
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// listen listens at a random free port.
func listen() (listener net.Listener, err error) {
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		listener, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.Wrap(err, "free port")
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

// Package ports finds free ports for entry VMs whose addresses must be known before they start.
package ports

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Ports are taken below the range from which Linux picks the ports of outgoing connections, which
// would else occupy a port between its release and its use.
const (
	lowestPort  = 10_240
	highestPort = 32_767
	attempts    = 100 // Tries to find a free port.
)

// Reserved holds free ports of 127.0.0.1 open until their user is about to listen at them, so that
// nothing else takes them. The key is the address.
type Reserved map[string]net.Listener

// Take reserves so many addresses.
func (r Reserved) Take(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := listenAnywhere()
		if err != nil {
			return nil, err
		}
		address := listener.Addr().String()
		r[address] = listener
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func listenAnywhere() (listener net.Listener, err error) {
	for range attempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort+1)
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

// Package ports finds free ports for entry VMs whose addresses must be known before they start.
package ports

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Ports are taken from below the range from which Linux picks the ports of outgoing connections: such a connection
// could take a port between its release and its use.
const (
	lowestPort  = 10_240
	highestPort = 32_767
	maxAttempts = 100 // Tries to find a free port.
)

// Reserved are ports of 127.0.0.1, each held by a listener until its user is about to listen on it, so that nothing
// else takes it. The key is the address.
type Reserved map[string]net.Listener

// Reserve reserves count addresses (ip:port) and returns them.
func (r Reserved) Reserve(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := listenOnRandomPort()
		if err != nil {
			return nil, err
		}
		address := listener.Addr().String()
		r[address] = listener
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func listenOnRandomPort() (listener net.Listener, err error) {
	for range maxAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort+1)
		listener, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.Wrap(err, "free port")
}

// Release frees the given addresses for their user.
func (r Reserved) Release(addresses ...string) {
	for _, address := range addresses {
		if listener, ok := r[address]; ok {
			listener.Close()
			delete(r, address)
		}
	}
}

// ReleaseAll frees all reserved addresses.
func (r Reserved) ReleaseAll() {
	for address := range r {
		r.Release(address)
	}
}

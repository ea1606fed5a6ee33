package group

import (
	"net"

	"github.com/cockroachdb/errors"
)

// ports holds free ports of 127.0.0.1 open until their user is about to listen at them, so that
// nothing else of this process takes them.
type ports map[string]net.Listener // By address.

// take reserves so many addresses.
func (p ports) take(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		address := listener.Addr().String()
		p[address] = listener
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// release gives reserved addresses to their user.
func (p ports) release(addresses ...string) {
	for _, address := range addresses {
		if listener, ok := p[address]; ok {
			listener.Close()
			delete(p, address)
		}
	}
}

func (p ports) releaseAll() {
	for address := range p {
		p.release(address)
	}
}

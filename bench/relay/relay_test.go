package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoServer returns the address of a server that sends back all data it receives.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func startRelay(t *testing.T, delay time.Duration) *Relay {
	t.Helper()
	r, err := Start(startEchoServer(t), delay)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// roundTrip sends a byte and returns the byte that comes back.
func roundTrip(t *testing.T, conn net.Conn, b byte) byte {
	t.Helper()
	if _, err := conn.Write([]byte{b}); err != nil {
		t.Fatal(err)
	}
	var got [1]byte
	if _, err := io.ReadFull(conn, got[:]); err != nil {
		t.Fatal(err)
	}
	return got[0]
}

func TestRelayDelaysBothWays(t *testing.T) {
	is := is.New(t)
	const delay = 20 * time.Millisecond
	conn := dial(t, startRelay(t, delay))
	sent := time.Now()
	is.Equal(roundTrip(t, conn, 7), byte(7))
	is.True(time.Since(sent) >= 2*delay)
}

func TestPartitionHoldsDataBackUntilHeal(t *testing.T) {
	is := is.New(t)
	r := startRelay(t, 0)
	conn := dial(t, r)
	roundTrip(t, conn, 1)
	r.Partition()
	_, err := conn.Write([]byte{2})
	is.NoErr(err)
	conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	var got [1]byte
	_, err = io.ReadFull(conn, got[:])
	is.True(err != nil) // Nothing arrives during the partition.
	conn.SetReadDeadline(time.Time{})
	r.Heal()
	_, err = io.ReadFull(conn, got[:])
	is.NoErr(err)
	is.Equal(got[0], byte(2))
}

func TestStallAffectsOpenConnectionsOnly(t *testing.T) {
	is := is.New(t)
	r := startRelay(t, 0)
	existing := dial(t, r)
	roundTrip(t, existing, 1)
	r.Stall()
	_, err := existing.Write([]byte{2})
	is.NoErr(err)
	is.Equal(roundTrip(t, dial(t, r), 3), byte(3))
	existing.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	var got [1]byte
	_, err = io.ReadFull(existing, got[:])
	var timeout net.Error
	is.True(err != nil && asTimeout(err, &timeout)) // Stalled, not closed.
}

func asTimeout(err error, target *net.Error) bool {
	found, ok := err.(net.Error)
	*target = found
	return ok && found.Timeout()
}

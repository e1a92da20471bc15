// Package ports gives tests loopback addresses that no other process using the package gets,
// even while the server at an address is down.
package ports

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

// Block is a range of ports reserved for this process until Close or the end of the process.
// It is safe for concurrent use.
type Block struct {
	first, last int          // range of usable ports, last excluded
	listener    net.Listener // on the port before first; reserves the block

	mutex sync.Mutex // guards next
	next  int
}

// Claim reserves a block of size ports in the range from first up to, but excluding, last. A
// listener on its first port holds the reservation, so two processes never get the same block.
//
// The range should be below the kernel's ephemeral ports, so that no outgoing connection takes
// a port between Free and its use.
func Claim(first, last, size int) (*Block, error) {
	count := (last - first) / size
	for i := range count {
		start := first + (os.Getpid()+i)%count*size
		listener, err := net.Listen("tcp4", loopback(start).String())
		if err == nil {
			return &Block{first: start + 1, last: start + size, listener: listener, next: start + 1}, nil
		}
	}
	return nil, fmt.Errorf("ports: all %d blocks from %d to %d are taken", count, first, last)
}

// Free returns an address of the block that is free for TCP and UDP. Addresses are returned
// round-robin.
func (b *Block) Free() (netip.AddrPort, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for range b.last - b.first {
		addr := loopback(b.next)
		b.next++
		if b.next == b.last {
			b.next = b.first
		}
		if isFree(addr) {
			return addr, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("ports: no port from %d to %d is free", b.first, b.last)
}

// Close releases the block.
func (b *Block) Close() error { return b.listener.Close() }

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

func isFree(addr netip.AddrPort) bool {
	listener, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return false
	}
	packetConn, err := net.ListenPacket("udp4", addr.String())
	_ = listener.Close()
	if err != nil {
		return false
	}
	_ = packetConn.Close()
	return true
}

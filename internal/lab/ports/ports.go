// Package ports gives tests addresses of loopback that nobody else takes: also not tests of
// another process that run at the same time, while a node that has such an address is down.
package ports

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

// Block is a range of ports that belongs to this process until it is closed or the process
// ends. Its methods may be used concurrently.
type Block struct {
	first, last int          // the ports to give
	claim       net.Listener // on the port before the first

	mutex sync.Mutex // guards next
	next  int
}

// Claim takes a block of so many ports out of those from first on and before last. What holds
// it is a listener on its first port: two processes never have the same block.
//
// The ports should lie below those that the kernel takes for outgoing connections, so that none
// of these takes one between its choice and its use.
func Claim(first, last, size int) (*Block, error) {
	count := (last - first) / size
	for i := range count {
		start := first + (os.Getpid()+i)%count*size
		claim, err := net.Listen("tcp4", loopback(start).String())
		if err == nil {
			return &Block{first: start + 1, last: start + size, claim: claim, next: start + 1}, nil
		}
	}
	return nil, fmt.Errorf("ports: all %d blocks from %d to %d are taken", count, first, last)
}

// Free returns an address of the block that is free for TCP and UDP. It is given again only
// once all others were.
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

// Close gives the block up.
func (b *Block) Close() error { return b.claim.Close() }

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

func isFree(addr netip.AddrPort) bool {
	listener, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return false
	}
	packets, err := net.ListenPacket("udp4", addr.String())
	_ = listener.Close()
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}

package simulator

import (
	"context"
	"net"
	"net/netip"

	"samphiremux/standin/netemulator"
)

// Network connects the hosts of a cluster, over real loopback sockets or in memory.
type Network interface {
	Listen(address netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error)
	SetLocation(host netip.Addr, location string)
}

var _ Network = (*netemulator.Network)(nil)

// Loopback is a network of real sockets in 127.0.0.0/8.
type Loopback struct{}

// Listen implements Network.
func (Loopback) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
}

// Dial implements Network. The connection's local address is that of the dialing
// host.
func (Loopback) Dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	return d.DialContext(ctx, "tcp", to.String())
}

// SetLocation implements Network. It does nothing, since Loopback emulates no delays
// between locations.
func (Loopback) SetLocation(netip.Addr, string) {}

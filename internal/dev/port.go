package dev

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// port reserves a free port on loopback without listening on it. While it is reserved, the kernel assigns
// the port to no other socket, but a listener can bind it by number any number of times. So a process
// keeps its address over restarts, and connections are refused in between.
type port struct {
	fd   int
	addr string
}

// reservePort finds and reserves a free port.
func reservePort() (*port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	p := &port{fd: fd}
	if err := p.bind(); err != nil {
		_ = p.release()
		return nil, err
	}
	return p, nil
}

// bind binds the socket and reads its port.
func (p *port) bind() error {
	// Sockets that may reuse an address share it as long as at most one of them listens.
	if err := syscall.SetsockoptInt(p.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := syscall.Bind(p.fd, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return os.NewSyscallError("bind", err)
	}
	name, err := syscall.Getsockname(p.fd)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	in4, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return fmt.Errorf("reserve a port: unexpected address %T", name)
	}
	p.addr = net.JoinHostPort(loopback.String(), fmt.Sprint(in4.Port))
	return nil
}

// release ends the reservation.
func (p *port) release() error { return syscall.Close(p.fd) }

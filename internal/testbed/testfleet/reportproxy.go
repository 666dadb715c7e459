package testfleet

import (
	"errors"
	"net"
	"sync"

	"frostpier/internal/control/rollout"
)

// reportProxyBuffer is the size of the socket's receive buffer in bytes. All gateways of a fleet may report at the same time.
const reportProxyBuffer = 4 << 20

// reportProxy forwards the gateways' rollout reports to the controller, except those of gateways whose reports are dropped.
type reportProxy struct {
	conn       *net.UDPConn
	gateways   int
	classes    int
	mu         sync.Mutex
	controller *net.UDPAddr // the controller's address; nil = not known yet
	dropped    map[int]bool // gateways whose reports are dropped
	reported   map[int]bool // gateways that have reported
}

// newReportProxy starts a proxy on a free loopback port; close stops it.
func newReportProxy(gateways, classes int) (*reportProxy, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(reportProxyBuffer) // if it fails, some reports may be lost, as on a real network
	p := &reportProxy{conn: conn, gateways: gateways, classes: classes, dropped: map[int]bool{}, reported: map[int]bool{}}
	go p.serve()
	return p, nil
}

func (p *reportProxy) addr() string { return p.conn.LocalAddr().String() }

// setController sets the address to which reports are forwarded.
func (p *reportProxy) setController(addr string) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller, err = net.ResolveUDPAddr("udp4", addr)
	return err
}

// setDropped drops the reports of these gateways from now on and forwards those of all others.
func (p *reportProxy) setDropped(gateways []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.dropped)
	for _, i := range gateways {
		p.dropped[i] = true
	}
}

// numReporting returns the number of gateways that have reported so far.
func (p *reportProxy) numReporting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reported)
}

func (p *reportProxy) serve() {
	buf := make([]byte, rollout.MaxReportBytes+1) // one more byte, so that longer reports are recognized as invalid
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			p.forward(buf[:n])
		}
	}
}

// forward forwards a valid report to the controller.
func (p *reportProxy) forward(datagram []byte) {
	report, err := rollout.ParseReport(datagram, FleetName, p.gateways, p.classes)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported[report.Gateway] = true
	if !p.dropped[report.Gateway] && p.controller != nil {
		_, _ = p.conn.WriteToUDP(datagram, p.controller)
	}
}

func (p *reportProxy) close() { _ = p.conn.Close() }

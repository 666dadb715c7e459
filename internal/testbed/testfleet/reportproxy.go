package testfleet

import (
	"errors"
	"net"
	"sync"

	"frostpier/internal/control/rollout"
)

// reportProxyBuffer is the receive buffer of the proxy's socket, in bytes: whole fleets report at the same time.
const reportProxyBuffer = 4 << 20

// reportProxy forwards the gateways' reports to the controller, but for those of gateways that are cut off from it.
type reportProxy struct {
	conn       *net.UDPConn
	gateways   int
	classes    int
	mu         sync.Mutex
	controller *net.UDPAddr // nil = not known yet
	cut        map[int]bool
	reported   map[int]bool
}

// newReportProxy starts a proxy on a free loopback port; close ends it.
func newReportProxy(gateways, classes int) (*reportProxy, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(reportProxyBuffer) // with a smaller one reports are lost, as on any network
	p := &reportProxy{conn: conn, gateways: gateways, classes: classes, cut: map[int]bool{}, reported: map[int]bool{}}
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

// setCut drops the reports of these gateways, and forwards those of all others.
func (p *reportProxy) setCut(gateways []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
	for _, i := range gateways {
		p.cut[i] = true
	}
}

// reporting is how many gateways have reported so far.
func (p *reportProxy) reporting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reported)
}

func (p *reportProxy) serve() {
	buf := make([]byte, rollout.MaxReportBytes+1) // a report that fills it is too long to be valid
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

// forward sends a valid report on to the controller.
func (p *reportProxy) forward(datagram []byte) {
	report, err := rollout.ParseReport(datagram, FleetName, p.gateways, p.classes)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported[report.Gateway] = true
	if !p.cut[report.Gateway] && p.controller != nil {
		_, _ = p.conn.WriteToUDP(datagram, p.controller)
	}
}

func (p *reportProxy) close() { _ = p.conn.Close() }

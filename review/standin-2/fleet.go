package main

import "fmt"

// startHTTPFleet starts engines with the platform's protocol and a gateway that uses them.
func (w *world) startHTTPFleet(engines int, withMySQL bool, args ...string) (*gateway, error) {
	var list []listedEngine
	for i := range engines {
		e, err := w.startEngine("http-engine", fmt.Sprintf("s-%d", i+1), args...)
		if err != nil {
			return nil, err
		}
		list = append(list, listedEngine{name: e.name, addr: e.addr})
	}
	return w.startGateway(list, withMySQL)
}

// mysqlFleet is a gateway with engines that speak MySQL, each behind a proxy.
type mysqlFleet struct {
	*gateway
	engines map[string]*engineProcess
	proxies map[string]*proxy
}

// startMySQLFleet starts engines with the MySQL protocol and a gateway that uses them.
func (w *world) startMySQLFleet(engines int, args ...string) (f mysqlFleet, err error) {
	f.engines, f.proxies = map[string]*engineProcess{}, map[string]*proxy{}
	var list []listedEngine
	for i := range engines {
		e, err := w.startEngine("mysql-engine", fmt.Sprintf("s-%d", i+1), args...)
		if err != nil {
			return f, err
		}
		p, err := startProxy(e.addr)
		if err != nil {
			return f, err
		}
		f.engines[e.name], f.proxies[e.name] = e, p
		list = append(list, listedEngine{name: e.name, addr: freeAddr("tcp"), mysql: p.addr})
	}
	f.gateway, err = w.startGateway(list, true)
	return f, err
}

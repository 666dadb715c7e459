// Package core owns the state of one gateway: the open requests, their attempts, the engine list and the decision
// module that schedules requests on engines.
//
// It is a state machine: each method takes an event and the current time and returns the actions that the host must
// execute. It never does I/O, starts no goroutine, reads no clock and knows no wire format. A Core is not safe for
// concurrent use: the event loop's goroutine makes all calls. Times are durations since the Unix epoch.
package core

import (
	"fmt"
	"log/slog"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/policy"
)

// decisionModule is the part of policy.Gateway that a Core uses.
type decisionModule interface {
	Handle(now time.Duration, event policy.Event) []policy.Action
	ReserveResend(now time.Duration, id policy.RequestID, attempt int) bool
	AttemptAllowed(now time.Duration, id policy.RequestID, attempt int) bool
	Estimate(now time.Duration, id policy.EngineID) policy.EngineEstimate
	Explain(now time.Duration, id policy.RequestID) (queued bool, by policy.Guard, estimates []policy.EngineEstimate)
	Utilization() policy.Utilization
}

// Core is the state machine of one gateway.
type Core struct {
	module       decisionModule
	host         settings.Host
	log          *slog.Logger
	invariants   *invariant.Monitor
	requests     map[ID]*request
	activeNames  map[string]bool // names of the requests that are pending or have an attempt in flight
	lastID       ID
	pending      int // requests without a final reply
	inFlight     int // attempts that have not ended
	engines      map[policy.EngineID]*Engine
	classes      map[string]int // class numbers by name
	shuttingDown bool
	actions      []Action // collected for the event that is being handled

	counts        Counts
	countsByClass []ClassCounts

	loadReports     *loadreport.Digest // shared with the other gateways; nil = not shared
	waitingLoggedAt time.Duration      // last debug records of queued requests

	subset            *engineSubset            // nil = every engine is used
	inFlightByEngine  map[policy.EngineID]int  // attempts that have not ended
	gatewaysInService int                      // by the host's last count
	sentInService     policy.GatewaysInService // what the module was sent last
}

// New returns a Core for the host's settings. The seed determines every random choice. It returns an error if the
// decision module does not accept the settings.
func New(host settings.Host, seed uint64, log *slog.Logger, invariants *invariant.Monitor) (*Core, error) {
	module, err := policy.New(host.Module, seed)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	c := &Core{
		module: module, host: host, log: log, invariants: invariants,
		requests:          map[ID]*request{},
		activeNames:       map[string]bool{},
		engines:           map[policy.EngineID]*Engine{},
		classes:           map[string]int{},
		countsByClass:     make([]ClassCounts, len(host.Module.Classes)),
		inFlightByEngine:  map[policy.EngineID]int{},
		gatewaysInService: host.Module.Gateways,
		sentInService:     policy.GatewaysInService{Count: host.Module.Gateways},
	}
	for i, class := range host.Module.Classes {
		c.classes[class.Name] = i
	}
	return c, nil
}

// Class returns the number of the class with this name; known is false if the settings have no such class.
func (c *Core) Class(name string) (class int, known bool) {
	class, known = c.classes[name]
	return class, known
}

// ClassName returns the name of a class. The class number must be valid.
func (c *Core) ClassName(class int) string { return c.host.Module.Classes[class].Name }

// NeedsIdempotencyKey reports whether queries of a class must carry an idempotency key.
func (c *Core) NeedsIdempotencyKey(class int) bool {
	return c.host.Module.Classes[class].Idempotency == policy.IdempotentWithKey
}

// PendingRequests returns how many requests have no final reply yet.
func (c *Core) PendingRequests() int { return c.pending }

// AttemptsInFlight returns how many attempts have not ended.
func (c *Core) AttemptsInFlight() int { return c.inFlight }

// TimerFired reports that a Timer with this token expired.
func (c *Core) TimerFired(now time.Duration, token uint64) []Action {
	c.logWaitingRequests(now)
	return c.dispatch(now, policy.TimerFired{Token: token})
}

// SetGatewaysInService sets how many gateways are believed to be in service, this one included.
func (c *Core) SetGatewaysInService(now time.Duration, gateways int) []Action {
	c.gatewaysInService = gateways
	if c.UsesSubset() { // the next count of sharers takes it into account
		return nil
	}
	c.sentInService = policy.GatewaysInService{Count: gateways}
	return c.dispatch(now, policy.GatewaysInService{Count: gateways})
}

// Shutdown gives every pending request its final reply. Requests that are submitted later are rejected at once.
func (c *Core) Shutdown(now time.Duration) []Action {
	c.shuttingDown = true
	return c.dispatch(now, policy.ShuttingDown{})
}

// dispatch hands the module an event and translates its actions to the host's.
func (c *Core) dispatch(now time.Duration, event policy.Event) []Action {
	c.actions = nil
	for _, action := range c.module.Handle(now, event) {
		c.apply(now, action)
	}
	return c.actions
}

// apply carries out one action of the module.
func (c *Core) apply(now time.Duration, action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		c.startAttempt(now, a)
	case policy.Cancel:
		c.actions = append(c.actions, CancelAttempt{ID: a.ID, Attempt: a.Attempt})
	case policy.Reject:
		c.reject(now, a)
	case policy.Fail:
		c.reply(now, a.ID, Failed, 0)
	case policy.SetTimer:
		c.actions = append(c.actions, StartTimer{After: a.After, Token: a.Token})
	case policy.Log:
		c.log.Info("decision module", "says", a.Text)
	case policy.Subscribe, policy.Probe, policy.SetResources:
		// Discovery pushes the engine list without a subscription; engines have no probes and no terms.
	}
}

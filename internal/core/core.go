// Package core owns the state of one gateway: the open requests, their attempts, the engine list and the decision
// module that schedules requests on engines.
//
// A Core is a state machine: its methods take an event and the current time and return the actions that the host must
// execute. It does no I/O, starts no goroutines, reads no clock and knows no wire format. It is not safe for concurrent
// use: all calls are made on the event loop's goroutine. Times are durations since the Unix epoch.
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
	Explain(now time.Duration, id policy.RequestID) (queued bool, guard policy.Guard, estimates []policy.EngineEstimate)
	Utilization() policy.Utilization
}

// Core is the state machine of one gateway.
type Core struct {
	module       decisionModule
	host         settings.Host
	log          *slog.Logger
	invariants   *invariant.Monitor
	requests     map[RequestID]*request
	activeNames  map[string]bool // names of the requests that are pending or have an attempt in flight
	lastID       RequestID       // the ID assigned last
	pending      int             // requests without a final reply
	inFlight     int             // attempts that have not ended
	queryBytes   int             // memory that the frontends hold for active requests
	engines      map[policy.EngineID]*Engine
	classes      map[string]int // class numbers by name
	shuttingDown bool
	actions      []Action // actions collected so far for the current event

	counts        Counts
	countsByClass []ClassCounts

	loadReports   *loadreport.Digest // load reports exchanged with the other gateways; nil = not exchanged
	queueLoggedAt time.Duration      // when the queued requests were last logged at debug level

	subset            *engineSubset            // nil = all engines are used
	inFlightByEngine  map[policy.EngineID]int  // number of attempts in flight at each engine
	gatewaysInService int                      // last value set by SetGatewaysInService; initially the configured number
	lastInService     policy.GatewaysInService // the last GatewaysInService event sent to the module
}

// New returns a Core for the host's settings. The seed determines all random choices. New returns an error if the
// decision module rejects the settings.
func New(host settings.Host, seed uint64, log *slog.Logger, invariants *invariant.Monitor) (*Core, error) {
	module, err := policy.New(host.Policy, seed)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	c := &Core{
		module: module, host: host, log: log, invariants: invariants,
		requests:          map[RequestID]*request{},
		activeNames:       map[string]bool{},
		engines:           map[policy.EngineID]*Engine{},
		classes:           map[string]int{},
		countsByClass:     make([]ClassCounts, len(host.Policy.Classes)),
		inFlightByEngine:  map[policy.EngineID]int{},
		gatewaysInService: host.Policy.Gateways,
		lastInService:     policy.GatewaysInService{Count: host.Policy.Gateways},
	}
	for i, class := range host.Policy.Classes {
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
func (c *Core) ClassName(class int) string { return c.host.Policy.Classes[class].Name }

// NeedsIdempotencyKey reports whether queries of a class must carry an idempotency key.
func (c *Core) NeedsIdempotencyKey(class int) bool {
	return c.host.Policy.Classes[class].Idempotency == policy.IdempotentWithKey
}

// PendingRequests returns the number of requests without a final reply.
func (c *Core) PendingRequests() int { return c.pending }

// QueryBytes returns the memory that the frontends hold for queries without a final reply or with an attempt in flight.
func (c *Core) QueryBytes() int { return c.queryBytes }

// AttemptsInFlight returns the number of attempts that have not ended.
func (c *Core) AttemptsInFlight() int { return c.inFlight }

// TimerFired reports that the timer with this token has expired.
func (c *Core) TimerFired(now time.Duration, token uint64) []Action {
	c.logQueuedRequests(now)
	return c.dispatch(now, policy.TimerFired{Token: token})
}

// SetGatewaysInService sets the estimated number of gateways in service, including this one.
func (c *Core) SetGatewaysInService(now time.Duration, gateways int) []Action {
	c.gatewaysInService = gateways
	if c.UsesSubset() { // dispatchSharingGateways uses the new number on its next run
		return nil
	}
	c.lastInService = policy.GatewaysInService{Count: gateways}
	return c.dispatch(now, policy.GatewaysInService{Count: gateways})
}

// Shutdown gives each pending request its final reply. Requests that are submitted afterwards are rejected at once.
func (c *Core) Shutdown(now time.Duration) []Action {
	c.shuttingDown = true
	return c.dispatch(now, policy.ShuttingDown{})
}

// dispatch passes an event to the module and converts the module's actions to actions of the host.
func (c *Core) dispatch(now time.Duration, event policy.Event) []Action {
	c.actions = nil
	for _, action := range c.module.Handle(now, event) {
		c.apply(now, action)
	}
	return c.actions
}

// apply executes one action of the module.
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
		c.log.Info("decision module", "event", a.Text)
	case policy.Subscribe, policy.Probe, policy.SetResources:
		// Nothing to do: discovery pushes the engine list without a subscription, and engines support neither probes nor SetResources.
	}
}

package settings

import (
	"fmt"
	"reflect"

	"github.com/BurntSushi/toml"
)

// Operator is the operator's file: what the gateway does beside serving the platform. A section that is nil is off.
type Operator struct {
	MySQL      *MySQL      `toml:"mysql"`
	VRRP       *VRRP       `toml:"vrrp"`
	Membership *Membership `toml:"membership"`
	Spread     *Spread     `toml:"spread"`
	Rollout    *Rollout    `toml:"rollout"`
	Subset     *Subset     `toml:"subset"`
}

// ParseOperator reads an operator's file. An unknown key is an error, as it would be a setting without effect. The error
// of an invalid key is a *KeyError, except where the TOML decoder finds it.
func ParseOperator(text []byte) (Operator, error) {
	var o Operator
	meta, err := toml.Decode(string(text), &o)
	if err != nil {
		return o, fmt.Errorf("%s: %w", SourceOperator, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return o, operatorError(unknown[0].String(), nil, "unknown key")
	}
	return o, o.check()
}

// check returns the error of the first section that is invalid.
func (o Operator) check() error {
	checks := []func() error{o.checkVRRP, o.checkMembership, o.checkRollout, o.checkSpread, o.checkSubset, o.checkMySQL}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (o Operator) checkVRRP() error {
	if o.VRRP != nil && o.MySQL == nil {
		return operatorError("vrrp", nil, "without mysql it has nothing to own")
	}
	return nil
}

func (o Operator) checkMembership() error {
	if o.Membership == nil {
		return nil
	}
	return o.Membership.check()
}

func (o Operator) checkRollout() error {
	if o.Rollout == nil {
		return nil
	}
	if err := o.Rollout.check(); err != nil {
		return err
	}
	if o.Membership == nil {
		return operatorError("rollout", nil, "without membership it has no fleet's name")
	}
	return nil
}

func (o Operator) checkSpread() error {
	if o.Spread != nil && o.Membership == nil {
		return operatorError("spread", nil, "needs membership: its messages are piggybacked on membership datagrams")
	}
	return nil
}

func (o Operator) checkSubset() error {
	if o.Subset == nil {
		return nil
	}
	if o.Membership == nil {
		return operatorError("subset", nil, "without membership it cannot tell which gateways share the engines")
	}
	return o.Subset.check()
}

func (o Operator) checkMySQL() error {
	if o.MySQL == nil {
		return nil
	}
	return o.MySQL.check()
}

// CanApplyLive reports whether every difference to another operator's file can be applied while the program runs. Those
// are timeout_ms and suspect_ms of membership, the whole section subset, and the end or return of a spread that was on at
// the start.
func (o Operator) CanApplyLive(next Operator) bool {
	membershipToggled := (o.Membership == nil) != (next.Membership == nil)
	spreadAdded := o.Spread == nil && next.Spread != nil
	if membershipToggled || spreadAdded {
		return false
	}
	// What can be applied live is made equal; the rest must be.
	a, b := o, next
	a.Spread, b.Spread = nil, nil
	a.Subset, b.Subset = nil, nil
	if a.Membership != nil {
		membership := *b.Membership
		membership.TimeoutMS, membership.SuspectMS = a.Membership.TimeoutMS, a.Membership.SuspectMS
		b.Membership = &membership
	}
	return reflect.DeepEqual(a, b)
}

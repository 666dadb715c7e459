package settings

import (
	"fmt"
	"reflect"

	"github.com/BurntSushi/toml"
)

// Operator is the content of the operator's file. Each section enables a feature beyond serving the platform; the feature
// of a nil section is disabled.
type Operator struct {
	MySQL      *MySQL      `toml:"mysql"`
	VRRP       *VRRP       `toml:"vrrp"`
	Membership *Membership `toml:"membership"`
	Spread     *Spread     `toml:"spread"`
	Rollout    *Rollout    `toml:"rollout"`
	Subset     *Subset     `toml:"subset"`
}

// ParseOperator parses an operator's file. An unknown key is an error, because a misspelled key would have no effect. The
// error for an invalid key is a *KeyError, unless the TOML decoder reports it.
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

// check returns the error of the first invalid section, or nil.
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
		return operatorError("vrrp", nil, "requires mysql: the master of the virtual router opens the MySQL listener")
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
		return operatorError("rollout", nil, "requires membership, which has the name of the fleet")
	}
	return nil
}

func (o Operator) checkSpread() error {
	if o.Spread != nil && o.Membership == nil {
		return operatorError("spread", nil, "requires membership: its messages are piggybacked on membership datagrams")
	}
	return nil
}

func (o Operator) checkSubset() error {
	if o.Subset == nil {
		return nil
	}
	if o.Membership == nil {
		return operatorError("subset", nil, "requires membership, which determines the gateways that share the engines")
	}
	return o.Subset.check()
}

func (o Operator) checkMySQL() error {
	if o.MySQL == nil {
		return nil
	}
	return o.MySQL.check()
}

// CanApplyLive reports whether all differences between the operator's file at the start, o, and a new version of it can be
// applied without a restart. These are changes of membership.timeout_ms and membership.suspect_ms, all changes of the
// section subset, and the removal of the section spread, which may return later.
func (o Operator) CanApplyLive(next Operator) bool {
	membershipToggled := (o.Membership == nil) != (next.Membership == nil)
	spreadAdded := o.Spread == nil && next.Spread != nil
	if membershipToggled || spreadAdded {
		return false
	}
	// Make the keys that can be applied live equal; all other keys must be equal already.
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

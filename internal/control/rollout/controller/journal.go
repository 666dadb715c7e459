// Package controller drives a change that goes out in stages: it keeps the change's state in a journal on disk, hears the
// gateways' reports, looks for their processes, starts and stops them, asks known queries, and takes operators' commands. What
// is done when is internal/rollout's affair.
package controller

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"frostpier/internal/control/rollout"
)

// Journal is the durable memory of changes: bbolt writes copy-on-write pages and syncs them before a commit returns, so
// that one torn by a crash leaves the state before it. One process has it open to write.
type Journal struct{ db *bbolt.DB }

var (
	// ErrRunning says that another controller has the journal.
	ErrRunning = errors.New("another controller runs")
	// ErrNoChange says that the journal knows no such change.
	ErrNoChange = errors.New("no such change")
)

const (
	lockWait  = 200 * time.Millisecond // another controller holds the journal for as long as it runs
	planKey   = "plan"
	stateKey  = "state"
	notesName = "history"
	lastKey   = "last"
)

var changesName = []byte("changes")

// OpenJournal opens the journal to write.
func OpenJournal(path string) (*Journal, error) { return open(path, false) }

// ReadJournal opens it to read; while a controller runs that is refused as well.
func ReadJournal(path string) (*Journal, error) { return open(path, true) }

func open(path string, readOnly bool) (*Journal, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, ReadOnly: readOnly})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, ErrRunning
	}
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", path, err)
	}
	return &Journal{db}, nil
}

// Close closes it.
func (j *Journal) Close() error { return j.db.Close() }

// Begin enters a change with its plan's text and its first state.
func (j *Journal) Begin(name string, plan []byte, s rollout.State) error {
	return j.update(func(all *bbolt.Bucket) error {
		if all.Bucket([]byte(name)) != nil {
			return fmt.Errorf("change %q stands in the journal already", name)
		}
		b, err := all.CreateBucket([]byte(name))
		if err != nil {
			return err
		}
		if err := b.Put([]byte(planKey), plan); err != nil {
			return err
		}
		if err := all.Put([]byte(lastKey), []byte(name)); err != nil {
			return err
		}
		return putState(b, s)
	})
}

// Save writes a state and lines of history down together; it is on disk when Save returns.
func (j *Journal) Save(name string, s rollout.State, at time.Duration, notes []string) error {
	return j.update(func(all *bbolt.Bucket) error {
		b := all.Bucket([]byte(name))
		if b == nil {
			return ErrNoChange
		}
		list, err := b.CreateBucketIfNotExists([]byte(notesName))
		if err != nil {
			return err
		}
		for _, text := range notes {
			n, err := list.NextSequence()
			if err != nil {
				return err
			}
			line, err := json.Marshal(Line{At: at, Text: text})
			if err != nil {
				return err
			}
			if err := list.Put(binary.BigEndian.AppendUint64(nil, n), line); err != nil {
				return err
			}
		}
		return putState(b, s)
	})
}

func putState(b *bbolt.Bucket, s rollout.State) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return b.Put([]byte(stateKey), text)
}

func (j *Journal) update(do func(all *bbolt.Bucket) error) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		all, err := tx.CreateBucketIfNotExists(changesName)
		if err != nil {
			return err
		}
		return do(all)
	})
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Line is one of a change's history.
type Line struct {
	At   time.Duration `json:"at"` // Unix time
	Text string        `json:"text"`
}

// Change is what the journal holds of one.
type Change struct {
	Name    string
	Plan    []byte
	State   rollout.State
	History []Line
}

// Last is the change that was begun last.
func (j *Journal) Last() (Change, error) {
	name := ""
	err := j.db.View(func(tx *bbolt.Tx) error {
		if all := tx.Bucket(changesName); all != nil {
			name = string(all.Get([]byte(lastKey)))
		}
		return nil
	})
	if err != nil {
		return Change{}, fmt.Errorf("journal: %w", err)
	}
	return j.Change(name)
}

// Change is one by its name.
func (j *Journal) Change(name string) (c Change, err error) {
	c.Name = name
	err = j.db.View(func(tx *bbolt.Tx) error {
		all := tx.Bucket(changesName)
		if name == "" || all == nil || all.Bucket([]byte(name)) == nil {
			return ErrNoChange
		}
		b := all.Bucket([]byte(name))
		c.Plan = append(c.Plan, b.Get([]byte(planKey))...)
		if err := json.Unmarshal(b.Get([]byte(stateKey)), &c.State); err != nil {
			return fmt.Errorf("state: %w", err)
		}
		list := b.Bucket([]byte(notesName))
		if list == nil {
			return nil
		}
		return list.ForEach(func(_, line []byte) error {
			var l Line
			if err := json.Unmarshal(line, &l); err != nil {
				return fmt.Errorf("history: %w", err)
			}
			c.History = append(c.History, l)
			return nil
		})
	})
	if err != nil {
		return c, fmt.Errorf("journal: %w", err)
	}
	return c, nil
}

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

// Journal stores changes durably. bbolt writes pages copy-on-write and syncs them before a commit returns, so that a crash during a
// commit leaves the previous state intact. Only one process at a time can have a journal open.
type Journal struct{ db *bbolt.DB }

var (
	// ErrRunning means that another controller has the journal open.
	ErrRunning = errors.New("another controller is running")
	// ErrChangeNotFound means that the journal has no such change.
	ErrChangeNotFound = errors.New("no such change")
)

// lockTimeout is how long to wait for the file lock of a journal that another process has open.
const lockTimeout = 200 * time.Millisecond

// Names of buckets and keys. The bucket of changes holds the name of the last change, and one bucket per change under the change's
// name. That bucket holds the plan, the state and the bucket of the history.
const (
	changesBucket = "changes"
	historyBucket = "history"
	lastKey       = "last"
	planKey       = "plan"
	stateKey      = "state"
)

// OpenJournal opens a journal for writing, and creates it if it is missing. It fails with ErrRunning while another process has it
// open.
func OpenJournal(path string) (*Journal, error) { return open(path, false) }

// ReadJournal opens a journal for reading. It fails with ErrRunning while a controller has it open.
func ReadJournal(path string) (*Journal, error) { return open(path, true) }

func open(path string, readOnly bool) (*Journal, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, ErrRunning
	}
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", path, err)
	}
	return &Journal{db}, nil
}

// Close closes the journal.
func (j *Journal) Close() error { return j.db.Close() }

// Begin adds a change with the text of its plan and its initial state. It fails with a *ConflictError if the name is already used.
func (j *Journal) Begin(name string, plan []byte, s rollout.State) error {
	return j.update(func(changes *bbolt.Bucket) error {
		if changes.Bucket([]byte(name)) != nil {
			return &ConflictError{name, "already exists in the journal"}
		}
		change, err := changes.CreateBucket([]byte(name))
		if err != nil {
			return err
		}
		if err := change.Put([]byte(planKey), plan); err != nil {
			return err
		}
		if err := changes.Put([]byte(lastKey), []byte(name)); err != nil {
			return err
		}
		return putState(change, s)
	})
}

// Save stores the state of a change and adds notes to its history, in one transaction that is on disk when Save returns.
func (j *Journal) Save(name string, s rollout.State, at time.Duration, notes []string) error {
	return j.update(func(changes *bbolt.Bucket) error {
		change := changes.Bucket([]byte(name))
		if change == nil {
			return ErrChangeNotFound
		}
		history, err := change.CreateBucketIfNotExists([]byte(historyBucket))
		if err != nil {
			return err
		}
		for _, text := range notes {
			if err := appendEntry(history, HistoryEntry{At: at, Text: text}); err != nil {
				return err
			}
		}
		return putState(change, s)
	})
}

// appendEntry stores an entry under the next number: bbolt orders keys as bytes, hence big-endian.
func appendEntry(history *bbolt.Bucket, entry HistoryEntry) error {
	number, err := history.NextSequence()
	if err != nil {
		return err
	}
	text, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return history.Put(binary.BigEndian.AppendUint64(nil, number), text)
}

func putState(change *bbolt.Bucket, s rollout.State) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return change.Put([]byte(stateKey), text)
}

// update runs a transaction on the bucket of changes.
func (j *Journal) update(transaction func(changes *bbolt.Bucket) error) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		changes, err := tx.CreateBucketIfNotExists([]byte(changesBucket))
		if err != nil {
			return err
		}
		return transaction(changes)
	})
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// HistoryEntry is an event in the history of a change.
type HistoryEntry struct {
	At   time.Duration `json:"at"` // since the Unix epoch
	Text string        `json:"text"`
}

// Change is a change as stored in the journal.
type Change struct {
	Name    string
	Plan    []byte // text of the plan
	State   rollout.State
	History []HistoryEntry
}

// Last returns the change that began last. It fails with ErrChangeNotFound if the journal is empty.
func (j *Journal) Last() (Change, error) {
	name := ""
	err := j.db.View(func(tx *bbolt.Tx) error {
		if changes := tx.Bucket([]byte(changesBucket)); changes != nil {
			name = string(changes.Get([]byte(lastKey)))
		}
		return nil
	})
	if err != nil {
		return Change{}, fmt.Errorf("journal: %w", err)
	}
	return j.Change(name)
}

// Change returns the change with this name. It fails with ErrChangeNotFound if there is none.
func (j *Journal) Change(name string) (Change, error) {
	c := Change{Name: name}
	err := j.db.View(func(tx *bbolt.Tx) error {
		changes := tx.Bucket([]byte(changesBucket))
		if name == "" || changes == nil || changes.Bucket([]byte(name)) == nil {
			return ErrChangeNotFound
		}
		return c.read(changes.Bucket([]byte(name)))
	})
	if err != nil {
		return c, fmt.Errorf("journal: %w", err)
	}
	return c, nil
}

// read decodes a change from its bucket.
func (c *Change) read(change *bbolt.Bucket) error {
	c.Plan = append(c.Plan, change.Get([]byte(planKey))...)
	if err := json.Unmarshal(change.Get([]byte(stateKey)), &c.State); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	history := change.Bucket([]byte(historyBucket))
	if history == nil {
		return nil
	}
	return history.ForEach(func(_, text []byte) error {
		var entry HistoryEntry
		if err := json.Unmarshal(text, &entry); err != nil {
			return fmt.Errorf("history: %w", err)
		}
		c.History = append(c.History, entry)
		return nil
	})
}

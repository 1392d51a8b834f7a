package store

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/platform"
)

const (
	snapshotObject = "snapshot"
	// snapshotKey is the row with the sequence number of the newest snapshot, so
	// that nodes need not read the object to see whether one is due.
	snapshotKey = "snapshot"
	// snapshotTimeout bounds how long a commit waits for its snapshot.
	snapshotTimeout = 2 * time.Second
)

// ErrWentBack means that the log on the platform is shorter than what this node
// has applied, for example because the table was restored from a backup. The node
// keeps its state, and nothing is committed until the log is put right.
var ErrWentBack = errors.New("change log on the platform went back")

// Load returns the state folded from the whole log. It reads only what is new
// since the last call.
func (l *Log) Load(ctx context.Context) (*changelog.State, error) {
	_, state, err := l.load(ctx)
	return state, err
}

// load returns the position of the log and the state at that position.
func (l *Log) load(ctx context.Context) (Head, *changelog.State, error) {
	s := l.newest(nil) // before head is read, so that a running commit cannot make it newer than head
	head, err := l.Head(ctx)
	if err != nil {
		return Head{}, nil, err
	}
	if s == nil {
		s = l.readSnapshot(ctx, head)
	}
	if s.Seq > head.Seq {
		return Head{}, nil, oops.In("store").With("step", "load").Wrap(fmt.Errorf("%w: to %d, %d was applied", ErrWentBack, head.Seq, s.Seq))
	}
	for s.Seq < head.Seq {
		entries, err := l.Read(ctx, s.Seq)
		if err != nil {
			return Head{}, nil, err
		}
		if s, err = applyUpTo(s, head.Seq, entries); err != nil {
			return Head{}, nil, oops.In("store").With("step", "fold log").Wrap(err)
		}
	}
	l.newest(s)
	return head, s, nil
}

// applyUpTo applies entries up to a sequence number; none is ErrGap.
func applyUpTo(s *changelog.State, last int64, entries []changelog.Entry) (*changelog.State, error) {
	if len(entries) == 0 {
		return nil, fmt.Errorf("%w: no entry after %d", changelog.ErrGap, s.Seq)
	}
	for _, e := range entries {
		if e.Seq > last {
			break
		}
		next, err := s.Apply(e)
		if err != nil {
			return nil, err
		}
		s = next
	}
	return s, nil
}

// newest keeps the newer of the kept state and s, and returns it.
func (l *Log) newest(s *changelog.State) *changelog.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s != nil && (l.state == nil || s.Seq > l.state.Seq) {
		l.state = s
	}
	return l.state
}

// readSnapshot returns the stored snapshot if it is part of the log's history,
// and otherwise the state before the first entry.
func (l *Log) readSnapshot(ctx context.Context, head Head) *changelog.State {
	none := changelog.NewState()
	if l.objects == nil {
		return none
	}
	data, err := l.objects.GetObject(ctx, snapshotObject)
	if err != nil {
		return none
	}
	s, err := changelog.DecodeSnapshot(data)
	if err != nil || s.Seq == 0 || s.Seq > head.Seq {
		return none
	}
	last, err := l.Entry(ctx, s.Seq)
	if err != nil || last.Operation != s.LastOperation {
		return none
	}
	return s
}

// writeSnapshot stores a state if the log has grown enough since the last
// snapshot. A failure is left to the next commit, because the log is complete
// without it.
func (l *Log) writeSnapshot(ctx context.Context, s *changelog.State) {
	if l.objects == nil || s.Seq < l.every {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	row, err := l.table.Get(ctx, snapshotKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	if stored, _ := strconv.ParseInt(string(row.Value), 10, 64); s.Seq-stored < l.every {
		return
	}
	data, err := changelog.EncodeSnapshot(s)
	if err != nil {
		return
	}
	if err := l.objects.PutObject(ctx, snapshotObject, data); err != nil {
		return
	}
	_ = l.table.Commit(ctx, platform.Transaction{ // a lost race costs one more snapshot
		Checks: []platform.Check{{Key: snapshotKey, Version: row.Version}},
		Puts:   []platform.Put{{Key: snapshotKey, Value: []byte(strconv.FormatInt(s.Seq, 10))}},
	})
}

// Package store keeps declarations at the platform: the one in force, and every
// earlier one.
package store

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/wire/platform"
)

// writeAttempts bounds how often a write of unknown outcome is settled by
// reading back and writing again.
const writeAttempts = 8

// Store reads and writes declarations.
type Store struct{ client *platform.Client }

// New returns a store at the platform.
func New(c *platform.Client) *Store { return &Store{client: c} }

// Current returns the declaration in force and the version of its object; both
// are zero before the first.
func (s *Store) Current(ctx context.Context) (host.ConfigObject, uint64, error) {
	return s.read(ctx, host.ConfigKey)
}

// Version returns one declaration, in force or earlier.
func (s *Store) Version(ctx context.Context, version uint64) (host.ConfigObject, error) {
	o, _, err := s.Current(ctx)
	if err != nil || o.Version == version {
		return o, err
	}
	o, _, err = s.read(ctx, historyKey(version))
	if err == nil && o.Version == 0 {
		return o, failure.New(failure.InvalidDeclaration, "there is no version %d", version)
	}
	return o, err
}

// History returns all declarations, newest first.
func (s *Store) History(ctx context.Context) ([]host.ConfigObject, error) {
	current, _, err := s.Current(ctx)
	if err != nil || current.Version == 0 {
		return nil, err
	}
	all := []host.ConfigObject{current}
	r := s.client.Do(ctx, host.PlatformOp{Kind: host.OpList, Key: host.ConfigHistoryPrefix})
	if r.Status != host.OpOK {
		return nil, unavailable("list")
	}
	for i := len(r.Objects) - 1; i >= 0; i-- {
		var o host.ConfigObject
		if err := json.Unmarshal(r.Objects[i].Body, &o); err != nil {
			return nil, failure.Wrap(err, failure.Corrupt, "%s", r.Objects[i].Key)
		}
		if o.Version != current.Version {
			all = append(all, o)
		}
	}
	return all, nil
}

// Apply makes text the declaration in force if the one in force is still
// version `from` of its object. The error is of kind Conflict when another
// operator was faster; nothing is changed then.
func (s *Store) Apply(ctx context.Context, text, author string, current host.ConfigObject, from uint64) (host.ConfigObject, error) {
	next := host.ConfigObject{Version: current.Version + 1, Nonce: nonce(), Author: author, Text: text}
	// The one in force goes into the history before it is replaced, so that the
	// history has every earlier version even if this process dies.
	if current.Version > 0 {
		if err := s.keep(ctx, current); err != nil {
			return next, err
		}
	}
	body, err := json.Marshal(next)
	if err != nil {
		return next, failure.Wrap(err, failure.Internal, "declaration")
	}
	if len(body) > platform.MaxObjectBytes {
		return next, failure.New(failure.TooLarge, "a declaration takes at most %d bytes at the platform", platform.MaxObjectBytes)
	}
	return next, s.write(ctx, host.ConfigKey, from, body)
}

func (s *Store) keep(ctx context.Context, o host.ConfigObject) error {
	body, err := json.Marshal(o)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "declaration")
	}
	err = s.write(ctx, historyKey(o.Version), 0, body)
	if failure.Is(err, failure.Conflict) {
		return nil // kept before
	}
	return err
}

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%09d", host.ConfigHistoryPrefix, version)
}

func nonce() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// write puts an object and settles a lost reply by reading back.
func (s *Store) write(ctx context.Context, key string, ifVersion uint64, body []byte) error {
	pause := backoff.NewExponentialBackOff(backoff.WithInitialInterval(50 * time.Millisecond))
	for range writeAttempts {
		r := s.client.Do(ctx, host.PlatformOp{Kind: host.OpPut, Key: key, IfVersion: ifVersion, Body: body})
		if r.Status == host.OpOK {
			return nil
		}
		if r.Status == host.OpConflict || r.Status == host.OpLost {
			back := s.client.Do(ctx, host.PlatformOp{Kind: host.OpGet, Key: key})
			switch {
			case back.Status == host.OpOK && bytes.Equal(back.Body, body):
				return nil
			case back.Status == host.OpOK && back.Version > ifVersion:
				return failure.New(failure.Conflict, "another change was accepted meanwhile")
			}
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.PlatformUnavailable, "write")
		}
	}
	return failure.Unknown(failure.PlatformUnavailable, "the platform does not answer; the change may or may not be accepted")
}

func (s *Store) read(ctx context.Context, key string) (host.ConfigObject, uint64, error) {
	var o host.ConfigObject
	r := s.client.Do(ctx, host.PlatformOp{Kind: host.OpGet, Key: key})
	switch r.Status {
	case host.OpNotFound:
		return o, 0, nil
	case host.OpOK:
	default:
		return o, 0, unavailable("read")
	}
	if err := json.Unmarshal(r.Body, &o); err != nil {
		return o, 0, failure.Wrap(err, failure.Corrupt, "%s", key)
	}
	return o, r.Version, nil
}

func unavailable(what string) error {
	return failure.Retry(failure.PlatformUnavailable, time.Second, "the platform does not answer the %s", what)
}

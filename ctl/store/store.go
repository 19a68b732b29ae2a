// Package store keeps declarations in the platform's object store: the one in force and all earlier
// ones.
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

// maxWriteAttempts is the maximum number of attempts of a write whose outcome is unknown; each one
// reads the object back.
const maxWriteAttempts = 8

// Store reads and writes declarations.
type Store struct{ client *platform.Client }

// New returns a store that uses a client of the platform.
func New(c *platform.Client) *Store { return &Store{client: c} }

// Current returns the declaration in force and the version of its object; both are zero before the
// first declaration.
func (s *Store) Current(ctx context.Context) (host.ConfigObject, uint64, error) {
	return s.read(ctx, host.ConfigKey)
}

// Version returns the declaration with a version, whether in force or earlier. The error is of kind
// InvalidDeclaration if there is none.
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

// Apply puts text in force if the object of the declaration in force still has version
// objectVersion, and returns the new declaration. The error is of kind Conflict if another operator
// was faster; then the declaration in force is unchanged.
func (s *Store) Apply(ctx context.Context, text, author string, current host.ConfigObject, objectVersion uint64) (host.ConfigObject, error) {
	next := host.ConfigObject{Version: current.Version + 1, Nonce: nonce(), Author: author, Text: text}
	// The declaration in force is archived before it is replaced, so that the history contains every
	// earlier version even if this process dies.
	if current.Version > 0 {
		if err := s.archive(ctx, current); err != nil {
			return next, err
		}
	}
	body, err := json.Marshal(next)
	if err != nil {
		return next, failure.Wrap(err, failure.Internal, "declaration")
	}
	if len(body) > platform.MaxObjectBytes {
		return next, failure.New(failure.TooLarge, "stored declaration exceeds %d bytes, the limit of a platform object", platform.MaxObjectBytes)
	}
	return next, s.write(ctx, host.ConfigKey, objectVersion, body)
}

// archive writes a declaration to the history.
func (s *Store) archive(ctx context.Context, o host.ConfigObject) error {
	body, err := json.Marshal(o)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "declaration")
	}
	err = s.write(ctx, historyKey(o.Version), 0, body)
	if failure.Is(err, failure.Conflict) {
		return nil // archived before
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

// write puts an object if it has version ifVersion. After a conflict or a lost reply it reads the
// object back to determine the outcome of its own write.
func (s *Store) write(ctx context.Context, key string, ifVersion uint64, body []byte) error {
	retryDelay := backoff.NewExponentialBackOff(backoff.WithInitialInterval(50 * time.Millisecond))
	for range maxWriteAttempts {
		r := s.client.Do(ctx, host.PlatformOp{Kind: host.OpPut, Key: key, IfVersion: ifVersion, Body: body})
		if r.Status == host.OpOK {
			return nil
		}
		if r.Status == host.OpConflict || r.Status == host.OpLost {
			readBack := s.client.Do(ctx, host.PlatformOp{Kind: host.OpGet, Key: key})
			switch {
			case readBack.Status == host.OpOK && bytes.Equal(readBack.Body, body):
				return nil
			case readBack.Status == host.OpOK && readBack.Version > ifVersion:
				return failure.New(failure.Conflict, "another change was accepted in the meantime")
			}
		}
		select {
		case <-time.After(retryDelay.NextBackOff()):
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

func unavailable(operation string) error {
	return failure.Retry(failure.PlatformUnavailable, time.Second, "the platform does not answer %s requests", operation)
}

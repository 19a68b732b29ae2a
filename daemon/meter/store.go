package meter

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// CountStoreCalls returns a store that counts its calls by operation and result, in counters named
// platform_calls_OP_RESULT.
func CountStoreCalls(s objects.Store, m *Meter) objects.Store { return &countingStore{s, m} }

// countingStore is an objects.Store that counts the calls to another one.
type countingStore struct {
	objects.Store
	meter *Meter
}

func (s *countingStore) count(op string, err error) {
	result := "ok"
	if err != nil {
		result = string(failure.From(err).Kind)
	}
	s.meter.Count("platform_calls", op, result)
}

func (s *countingStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	s.count("get", err)
	return o, err
}

func (s *countingStore) Create(ctx context.Context, kind, name string, spec []byte) (objects.Object, error) {
	o, err := s.Store.Create(ctx, kind, name, spec)
	s.count("create", err)
	return o, err
}

func (s *countingStore) Update(ctx context.Context, kind, name string, revision uint64, spec []byte) (objects.Object, error) {
	o, err := s.Store.Update(ctx, kind, name, revision, spec)
	s.count("update", err)
	return o, err
}

func (s *countingStore) UpdateStatus(ctx context.Context, kind, name string, status []byte) error {
	err := s.Store.UpdateStatus(ctx, kind, name, status)
	s.count("update_status", err)
	return err
}

func (s *countingStore) Delete(ctx context.Context, kind, name string) error {
	err := s.Store.Delete(ctx, kind, name)
	s.count("delete", err)
	return err
}

func (s *countingStore) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	l, err := s.Store.List(ctx, kind)
	s.count("list", err)
	return l, err
}

func (s *countingStore) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	c, err := s.Store.Watch(ctx, kind, revision, wait)
	s.count("watch", err)
	return c, err
}

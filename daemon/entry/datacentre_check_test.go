package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
)

// someDialer connects but to the addresses that are dark, and counts.
type partialDialer struct {
	mu            sync.Mutex
	isUnreachable func(address string) bool
	dials         int
}

func (d *partialDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	unreachable := d.isUnreachable(address)
	d.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, _ := net.Pipe()
	return near, nil
}

func (d *partialDialer) restoreAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isUnreachable = func(string) bool { return false }
}

// manyTargets is a host before so many targets of one data centre, whose addresses are numbers.
func newHostWithTargets(n int, isUnreachable func(address string) bool) (*Host, *partialDialer) {
	d := &partialDialer{isUnreachable: isUnreachable}
	h := New(Options{Dialer: d, DataCentre: "dc1", Log: quietLog()})
	for i := range n {
		h.registry.SetTarget(balance.TargetInfo{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint(i), DataCentre: "dc1"})
	}
	return h, d
}

func (h *Host) unreachableTargets() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.registry.State(h.now()) {
		if s.UnusableReason == "unreachable" {
			n++
		}
	}
	return n
}

// One target that has failed makes a host probe some beside it, not all that it holds.
func TestFailedTargetCausesFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, d := newHostWithTargets(400, func(address string) bool { return address == "7" })
		h.reachability.startProbing("t7", "7")
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 1, h.unreachableTargets())
		require.LessOrEqual(t, d.dials, maxFirstProbes+3)
		d.restoreAll()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Zero(t, h.unreachableTargets())
	})
}

// All targets of a data centre that is cut off are found by probes within a second, however
// many there are.
func TestAllTargetsOfUnreachableDataCentreAreDetected(t *testing.T) {
	for _, n := range []int{1, 12, maxFirstProbes + 1, 400} {
		synctest.Test(t, func(t *testing.T) {
			h, d := newHostWithTargets(n, func(string) bool { return true })
			h.reachability.startProbing("t0", "0")
			time.Sleep(3*probeTimeout + 10*time.Millisecond)
			synctest.Wait()
			require.Equal(t, n, h.unreachableTargets())
			d.restoreAll()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			require.Zero(t, h.unreachableTargets())
		})
	}
}

// Failed targets among many that are found one after the other begin one suspicion.
func TestSeveralFailedTargetsShareOneDataCentreCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, d := newHostWithTargets(400, func(address string) bool { return len(address) == 1 }) // ten of them
		for i := range 10 {
			h.reachability.startProbing(fmt.Sprint("t", i), fmt.Sprint(i))
		}
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 10, h.unreachableTargets())
		require.LessOrEqual(t, d.dials, maxFirstProbes+30)
		d.restoreAll()
		time.Sleep(2 * time.Second)
	})
}
